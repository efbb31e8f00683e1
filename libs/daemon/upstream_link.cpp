#include "daemon/upstream_link.h"

#include <algorithm>

#include "daemon/hub_server.h"
#include "observability/log.h"

namespace sycamorewinch {

namespace {

constexpr duration first_backoff = std::chrono::milliseconds(100);
constexpr duration longest_backoff = std::chrono::seconds(5);
constexpr unsigned max_doublings = 6;

auto backoff_for(unsigned failures, const random_hook& random) -> duration
{
    const auto doublings = std::min(failures, max_doublings);
    const auto ceiling = std::min(longest_backoff, first_backoff * (1U << doublings));
    return uniform_between(random, ceiling / 2, ceiling);
}

} // namespace

upstream_link::upstream_link(std::vector<peer_address> upstreams, cluster_key key,
                             subscriber_options options, metrics_registry& metrics,
                             upstream_hooks hooks)
    : upstreams_(std::move(upstreams)), key_(std::move(key)), random_(options.random_),
      subscriber_(std::move(options)), hooks_(std::move(hooks)),
      current_(uniform_below(random_, upstreams_.size())),
      lost_(metrics.count("sycamorewinch_upstream_lost_total", "Upstream connections lost.")),
      bytes_received_(metrics.count("sycamorewinch_upstream_bytes_received_total",
                                    "Message bytes received from upstreams."))
{
    retry_.setSingleShot(true);
    QObject::connect(&retry_, &QTimer::timeout, &retry_, [this] { dial(); });
}

void upstream_link::start()
{
    dial();
}

void upstream_link::dial()
{
    peer_client_hooks hooks;
    hooks.on_ready_ = [this] {
        open_channel();
    };
    hooks.on_ended_ = [this](connection_end end) {
        on_lost(connection_end_names.name(end));
    };
    client_ = peer_client::dial(upstreams_[current_], key_, std::move(hooks));
}

void upstream_link::open_channel()
{
    channel_hooks hooks;
    hooks.on_message_ = [this](std::string_view bytes) {
        on_message(bytes);
    };
    hooks.on_closed_ = [this] {
        on_lost("channel_closed");
    };
    auto channel =
        message_channel::open(client_->connection(), distribution_path, {}, std::move(hooks));
    if (!channel) {
        on_lost(channel.error().message_);
        return;
    }
    channel_ = std::move(*channel);
    log_event(log_level::info, "upstream_connected", {{"upstream", to_text(upstreams_[current_])}});
    subscriber_.on_connected();
    hooks_.on_connected_();
    run();
}

void upstream_link::on_message(std::string_view bytes)
{
    bytes_received_.add(bytes.size());
    const auto message = decode_distribution_message(bytes);
    const auto taken =
        message ? subscriber_.on_message(*message) : result<void>(tl::unexpected(message.error()));
    if (!taken) {
        on_lost(taken.error().message_);
        return;
    }
    failures_ = 0;
    run();
}

void upstream_link::run()
{
    const auto output = subscriber_.take_output();
    for (const auto& message : output.messages_) {
        if (is_connected()) {
            channel_->send(encode_message(message));
        }
    }
    hooks_.on_output_(output);
}

void upstream_link::on_lost(std::string_view reason)
{
    if (retry_.isActive()) {
        return;
    }
    const auto channel = std::move(channel_);
    const auto client = std::move(client_);
    const auto wait = backoff_for(failures_++, random_);
    retry_.start(std::chrono::duration_cast<std::chrono::milliseconds>(wait));
    lost_.add();
    log_event(log_level::warning, "upstream_lost",
              {{"upstream", to_text(upstreams_[current_])},
               {"reason", reason},
               {"retry_ms", to_milliseconds(wait)}});
    current_ = (current_ + 1) % upstreams_.size();
    if (channel) {
        channel->close();
    }
    if (client) {
        client->close();
    }
}

} // namespace sycamorewinch
