#include "daemon/upstream_link.h"

#include <algorithm>
#include <utility>

#include "daemon/publisher_server.h"
#include "observability/log.h"

namespace sycamorewinch {

namespace {

/** The delay before a retry is random, from half of a ceiling up to the ceiling. */
constexpr duration initial_backoff_ceiling = std::chrono::milliseconds(100);
constexpr duration max_backoff_ceiling = std::chrono::milliseconds(400);
/** Limits the shift below; max_backoff_ceiling is reached earlier. */
constexpr unsigned max_doublings = 6;
constexpr auto tick_period = std::chrono::milliseconds(250);
/** After this time a further upstream is dialled beside one that has not answered. */
constexpr duration dial_interval = std::chrono::milliseconds(400);
/** More dials would cost a busy process the time that the first ones need. */
constexpr std::size_t max_dials = 3;
/** Minimum age of a connection before the link switches to an upstream in the same zone. */
constexpr duration min_connection_age = std::chrono::seconds(1);
/** heartbeat_timeout_ must be well below the proof timeout of a node or relay, after which its
 * table counts as out of date. */
constexpr connection_limits upstream_limits{.ping_interval_ = std::chrono::milliseconds(1'000),
                                            .heartbeat_timeout_ = std::chrono::milliseconds(2'500),
                                            .handshake_timeout_ = std::chrono::milliseconds(3'000)};

auto backoff_for(unsigned failures, const random_hook& random) -> duration
{
    const auto doublings = std::min(failures, max_doublings);
    const auto ceiling = std::min(max_backoff_ceiling, initial_backoff_ceiling * (1U << doublings));
    return uniform_between(random, ceiling / 2, ceiling);
}

} // namespace

upstream_link::upstream_link(std::vector<peer_address> upstreams, cluster_key key,
                             subscriber_options options, metrics_registry& metrics,
                             upstream_link_hooks hooks)
    : selector_(std::move(upstreams), options.availability_zone_, options.random_),
      key_(std::move(key)), random_(options.random_), subscriber_(std::move(options)),
      hooks_(std::move(hooks)),
      lost_(metrics.count("sycamorewinch_upstream_lost_total",
                          "Failed dials and lost connections to upstreams.")),
      stale_(metrics.count(
          "sycamorewinch_upstream_stale_total",
          "Upstreams abandoned because they did not prove the current version in time.")),
      bad_messages_(metrics.count("sycamorewinch_upstream_bad_messages_total",
                                  "Messages from upstreams that could not be decoded.")),
      bad_records_(metrics.count("sycamorewinch_upstream_bad_records_total",
                                 "Records in messages from upstreams that were skipped because "
                                 "they could not be decoded.")),
      proof_age_(metrics.gauge("sycamorewinch_table_proof_age_ms",
                               "Milliseconds since this process's table was last proved current.")),
      bytes_received_(metrics.count("sycamorewinch_upstream_bytes_received_total",
                                    "Bytes of messages received from upstreams."))
{
    QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_, [this] { tick(); });
}

void upstream_link::start()
{
    tick_timer_.start(tick_period);
    dial();
}

void upstream_link::tick()
{
    const auto now = monotonic_now();
    subscriber_.tick(now);
    if (const auto& proved_at = subscriber_.proved_current_at()) {
        proof_age_.set(static_cast<std::uint64_t>(to_milliseconds(now - *proved_at)));
    }
    process_output();
    if (is_connected() && is_nearer_upstream_available(now)) {
        // A table update then enters the zone once and not once per process.
        replace_upstream("one_is_nearer");
    }
}

auto upstream_link::is_nearer_upstream_available(instant now) const -> bool
{
    return now - current_.connected_at_ >= min_connection_age &&
           selector_.has_nearer_upstream(current_.address_, now);
}

auto upstream_link::needs_upstream(instant now) const -> bool
{
    return !is_connected() || is_stale_ || is_nearer_upstream_available(now);
}

void upstream_link::dial()
{
    const auto now = monotonic_now();
    if (!needs_upstream(now) || dials_.size() >= max_dials) {
        return;
    }
    const auto address = selector_.next(now);
    const bool is_dialled = std::ranges::any_of(
        dials_, [&](const auto& dial) { return dial.second.address_ == address; });
    if (is_dialled || (is_connected() && address == current_.address_)) {
        next_dial_.start(dial_interval); // there is no other upstream at present
        return;
    }
    const auto number = ++dial_number_;
    peer_client_hooks hooks;
    hooks.on_ready_ = [this, number] {
        on_dialled(number);
    };
    hooks.on_ended_ = [this, number](connection_end_reason reason) {
        if (dials_.contains(number)) {
            on_dial_failed(number, connection_end_reason_names.name(reason));
        }
        else if (number == current_number_ && current_.client_) {
            on_upstream_lost(connection_end_reason_names.name(reason));
        }
    };
    dials_[number].address_ = address;
    // Until it is ready it counts as failed, so that the next dial goes to another upstream.
    selector_.record_failure(address, now);
    next_dial_.start(dial_interval);
    auto client = peer_client::dial(address, key_, std::move(hooks), upstream_limits);
    if (const auto dialled = dials_.find(number); dialled != dials_.end()) {
        dialled->second.client_ = std::move(client);
    }
}

void upstream_link::on_dialled(std::uint64_t number)
{
    const auto found = dials_.find(number);
    if (found == dials_.end()) {
        return;
    }
    channel_hooks hooks;
    hooks.on_message_ = [this, number](std::string_view bytes) {
        if (number == current_number_) {
            on_message(bytes);
        }
    };
    hooks.on_closed_ = [this, number] {
        if (number == current_number_ && current_.channel_) {
            on_upstream_lost("channel_closed");
        }
    };
    auto channel = message_channel::open(found->second.client_->connection(), distribution_path, {},
                                         std::move(hooks));
    if (!channel) {
        on_dial_failed(number, channel.error().message_);
        return;
    }
    if (current_.channel_) {
        subscriber_.on_disconnected();
    }
    auto others = std::exchange(dials_, {});
    const auto previous = std::exchange(current_, std::move(others[number]));
    others.erase(number);
    current_number_ = number;
    current_.channel_ = std::move(*channel);
    current_.connected_at_ = monotonic_now();
    next_dial_.stop();
    is_stale_ = false;
    selector_.record_success(current_.address_);
    close(previous);
    for (const auto& [other, dialled] : others) {
        close(dialled);
    }
    log_event(log_level::info, "upstream_connected", {{"upstream", to_text(current_.address_)}});
    subscriber_.on_connected(current_.connected_at_);
    const auto previous_address = std::exchange(previous_upstream_, current_.address_);
    hooks_.on_connected_(previous_address && *previous_address != current_.address_);
    process_output();
}

void upstream_link::on_message(std::string_view bytes)
{
    bytes_received_.add(bytes.size());
    const auto message = decode_distribution_message(bytes, [this](const error& problem) {
        bad_records_.add();
        log_event(log_level::warning, "bad_upstream_record",
                  {{"upstream", to_text(current_.address_)}, {"reason", problem.message_}});
    });
    if (!message) {
        // A new channel would bring the same message. Without a table update that it needs, the
        // subscriber leaves an upstream that proves a newer version.
        bad_messages_.add();
        log_event(log_level::warning, "bad_upstream_message",
                  {{"upstream", to_text(current_.address_)}, {"reason", message.error().message_}});
        return;
    }
    if (const auto handled = subscriber_.on_message(*message); !handled) {
        on_upstream_lost(handled.error().message_);
        return;
    }
    process_output();
}

void upstream_link::process_output()
{
    const auto output = subscriber_.take_output();
    for (const auto& message : output.messages_) {
        if (is_connected()) {
            current_.channel_->send(encode_message(message));
        }
    }
    if (output.proof_) {
        // Connecting does not reset the backoff, since a stale upstream also accepts connections.
        failures_ = 0;
        is_stale_ = false;
    }
    if (output.publishers_) {
        selector_.set_publishers(output.publishers_->publishers_);
    }
    hooks_.on_output_(output);
    if (output.change_upstream_) {
        stale_.add();
        is_stale_ = true;
        selector_.record_failure(current_.address_, monotonic_now());
        replace_upstream("stale");
    }
}

void upstream_link::replace_upstream(std::string_view reason)
{
    if (is_dialling()) {
        return;
    }
    log_event(log_level::warning, "upstream_replaced",
              {{"upstream", to_text(current_.address_)}, {"reason", reason}});
    dial();
}

void upstream_link::on_dial_failed(std::uint64_t number, std::string_view reason)
{
    const auto failed = std::exchange(dials_[number], {});
    dials_.erase(number);
    log_event(log_level::warning, "upstream_dial_failed",
              {{"upstream", to_text(failed.address_)}, {"reason", reason}});
    selector_.record_failure(failed.address_, monotonic_now());
    lost_.add();
    close(failed);
    dial_after_backoff();
}

void upstream_link::on_upstream_lost(std::string_view reason)
{
    const auto lost = std::exchange(current_, {});
    log_event(log_level::warning, "upstream_lost",
              {{"upstream", to_text(lost.address_)}, {"reason", reason}});
    subscriber_.on_disconnected();
    selector_.record_failure(lost.address_, monotonic_now());
    lost_.add();
    close(lost);
    if (!is_dialling()) {
        dial_after_backoff();
    }
}

void upstream_link::dial_after_backoff()
{
    if (needs_upstream(monotonic_now())) {
        next_dial_.start(backoff_for(failures_++, random_));
    }
}

void upstream_link::close(const upstream& closing)
{
    if (closing.channel_) {
        closing.channel_->close();
    }
    if (closing.client_) {
        closing.client_->close();
    }
}

} // namespace sycamorewinch
