#include "daemon/run_channels.h"

#include "observability/log.h"

namespace sycamorewinch {

namespace {

constexpr auto forwarder_tick_period = std::chrono::milliseconds(100);

} // namespace

run_uplink::~run_uplink()
{
    ++channel_number_; // on_closed() ignores the channel closed below
    if (channel_) {
        channel_->close();
    }
}

void run_uplink::open(h2_connection& connection)
{
    const auto number = ++channel_number_;
    if (const auto previous_channel = std::exchange(channel_, nullptr)) {
        previous_channel->close();
        hooks_.on_disconnected_();
    }
    channel_hooks hooks;
    hooks.on_message_ = [this](std::string_view bytes) {
        if (const auto results = decode_run_results(bytes)) {
            hooks_.on_results_(*results);
        }
    };
    hooks.on_closed_ = [this, number] {
        on_closed(number);
    };
    auto channel = message_channel::open(connection, runs_path, {}, std::move(hooks));
    if (channel) {
        channel_ = std::move(*channel);
        hooks_.on_connected_();
    }
}

void run_uplink::on_closed(std::uint64_t number)
{
    if (number == channel_number_ && channel_) {
        channel_.reset();
        hooks_.on_disconnected_();
    }
}

void run_uplink::send(const std::vector<run_operation>& operations)
{
    if (channel_ && !operations.empty()) {
        channel_->send(encode_run_batch({0, operations}));
    }
}

run_server::run_server(metrics_registry& metrics, std::function<void()> forward_operations)
    : forward_operations_(std::move(forward_operations)),
      operations_(metrics.count("sycamorewinch_run_operations_total",
                                "Received operations on the record of unrepeatable requests."))
{
    QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_, [this] {
        forwarder_.tick(monotonic_now());
        send_results();
    });
    tick_timer_.start(forwarder_tick_period);
}

auto run_server::accept(const std::shared_ptr<h2_connection>& connection, stream_id stream)
    -> stream_hooks
{
    const auto channel_holder = std::make_shared<std::shared_ptr<message_channel>>();
    const auto from = add_sender([channel_holder](const std::vector<run_result>& results) {
        if (*channel_holder) {
            (*channel_holder)->send(encode_run_results(results));
        }
    });
    channel_hooks hooks;
    hooks.on_message_ = [this, from](std::string_view bytes) {
        if (auto batch = decode_run_batch(bytes)) {
            receive(from, std::move(batch->operations_));
        }
        else {
            log_event(log_level::warning, "bad_run_message", {{"reason", batch.error().message_}});
        }
    };
    hooks.on_closed_ = [this, from, channel_holder] {
        channel_holder->reset();
        senders_.erase(from);
        forwarder_.on_sender_disconnected(from);
    };
    stream_hooks stream_hooks;
    *channel_holder = message_channel::accept(connection, stream, std::move(hooks), stream_hooks);
    return stream_hooks;
}

auto run_server::add_sender(results_hook on_results) -> run_sender_id
{
    const auto id = next_sender_++;
    senders_[id] = std::move(on_results);
    return id;
}

void run_server::receive(run_sender_id from, std::vector<run_operation> operations)
{
    operations_.add(operations.size());
    forwarder_.on_operations(from, std::move(operations), monotonic_now());
    if (!dispatch_timer_.is_active()) {
        dispatch_timer_.start(duration(0));
    }
    send_results();
}

void run_server::send_results()
{
    for (const auto& [to, results] : forwarder_.take_results()) {
        const auto found = senders_.find(to);
        if (found != senders_.end()) {
            const auto send = found->second;
            send(results);
        }
    }
}

} // namespace sycamorewinch
