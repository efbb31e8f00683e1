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
/** Maximum time from the start of a dial until the channel is open. Of this time, connecting and
 * proving the cluster key may take upstream_limits.handshake_timeout_. */
constexpr duration dial_timeout = std::chrono::milliseconds(500);
/** Minimum age of a connection before the link switches to an upstream in the same zone. */
constexpr duration min_connection_age = std::chrono::seconds(1);
/** heartbeat_timeout_ must be well below the proof timeout of a node or relay, after which its
 * table counts as out of date. */
constexpr connection_limits upstream_limits{.ping_interval_ = std::chrono::milliseconds(1'000),
                                            .heartbeat_timeout_ = std::chrono::milliseconds(2'500),
                                            .handshake_timeout_ = std::chrono::milliseconds(400)};

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
    if (!channel_ && !retry_timer_.is_active() && now - dial_started_at_ >= dial_timeout) {
        on_upstream_failed("dial_timeout");
        return;
    }
    process_output();
    switch_to_nearer_upstream(now);
}

void upstream_link::dial()
{
    dial_started_at_ = monotonic_now();
    current_upstream_ = selector_.next(dial_started_at_);
    peer_client_hooks hooks;
    hooks.on_ready_ = [this] {
        open_channel();
    };
    hooks.on_ended_ = [this](connection_end_reason reason) {
        on_upstream_failed(connection_end_reason_names.name(reason));
    };
    client_ = peer_client::dial(current_upstream_, key_, std::move(hooks), upstream_limits);
}

void upstream_link::open_channel()
{
    channel_hooks hooks;
    hooks.on_message_ = [this](std::string_view bytes) {
        on_message(bytes);
    };
    hooks.on_closed_ = [this] {
        on_upstream_failed("channel_closed");
    };
    auto channel =
        message_channel::open(client_->connection(), distribution_path, {}, std::move(hooks));
    if (!channel) {
        on_upstream_failed(channel.error().message_);
        return;
    }
    channel_ = std::move(*channel);
    log_event(log_level::info, "upstream_connected", {{"upstream", to_text(current_upstream_)}});
    connected_at_ = monotonic_now();
    subscriber_.on_connected(connected_at_);
    const auto previous = std::exchange(previous_upstream_, current_upstream_);
    hooks_.on_connected_(previous && *previous != current_upstream_);
    process_output();
}

void upstream_link::on_message(std::string_view bytes)
{
    bytes_received_.add(bytes.size());
    const auto message = decode_distribution_message(bytes);
    const auto handled =
        message ? subscriber_.on_message(*message) : result<void>(tl::unexpected(message.error()));
    if (!handled) {
        on_upstream_failed(handled.error().message_);
        return;
    }
    process_output();
}

void upstream_link::process_output()
{
    const auto output = subscriber_.take_output();
    for (const auto& message : output.messages_) {
        if (is_connected()) {
            channel_->send(encode_message(message));
        }
    }
    if (output.proof_) {
        // Connecting does not reset the backoff, since a stale upstream also accepts connections.
        failures_ = 0;
    }
    if (output.publishers_) {
        selector_.set_publishers(output.publishers_->publishers_);
    }
    hooks_.on_output_(output);
    if (output.change_upstream_) {
        stale_.add();
        on_upstream_failed("stale");
    }
}

void upstream_link::on_upstream_failed(std::string_view reason)
{
    if (retry_timer_.is_active()) {
        return; // this failure has been handled already
    }
    selector_.record_failure(current_upstream_, monotonic_now());
    lost_.add();
    disconnect(reason, backoff_for(failures_++, random_));
}

/** Switches to an upstream in the same zone, if one is available, so that a table update
 * enters the zone once and not once per process. */
void upstream_link::switch_to_nearer_upstream(instant now)
{
    if (is_connected() && now - connected_at_ >= min_connection_age &&
        selector_.has_nearer_upstream(current_upstream_, now)) {
        disconnect("one_is_nearer", duration(0));
    }
}

void upstream_link::disconnect(std::string_view reason, duration retry_delay)
{
    subscriber_.on_disconnected();
    const auto channel = std::move(channel_);
    const auto client = std::move(client_);
    retry_timer_.start(retry_delay);
    log_event(log_level::warning, "upstream_lost",
              {{"upstream", to_text(current_upstream_)},
               {"reason", reason},
               {"retry_ms", to_milliseconds(retry_delay)}});
    if (channel) {
        channel->close();
    }
    if (client) {
        client->close();
    }
}

} // namespace sycamorewinch
