/** \file
 * Carries operations on the record of unrepeatable requests between processes. They use a
 * separate channel on the same connection as the distribution channel.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <QTimer>

#include "event_loop/deadline_timer.h"
#include "observability/metrics.h"
#include "run_record/run_forwarder.h"
#include "transport/message_channel.h"

namespace sycamorewinch {

/** Request path of the channel. */
constexpr std::string_view runs_path = "/channel/runs";

/** The downstream end: sends operations and receives results. */
class run_uplink {
  public:
    struct hooks {
        std::function<void()> on_connected_;
        std::function<void()> on_disconnected_;
        std::function<void(const std::vector<run_result>& results)> on_results_;
    };

    explicit run_uplink(hooks hooks) : hooks_(std::move(hooks)) {}
    run_uplink(const run_uplink&) = delete;
    auto operator=(const run_uplink&) -> run_uplink& = delete;
    run_uplink(run_uplink&&) = delete;
    auto operator=(run_uplink&&) -> run_uplink& = delete;
    ~run_uplink();

    /** Opens the channel on \p connection, replacing an earlier one. */
    void open(h2_connection& connection);
    [[nodiscard]] auto is_open() const -> bool { return channel_ != nullptr; }
    /** Sends operations. Dropped while no channel is open. */
    void send(const std::vector<run_operation>& operations);

  private:
    void on_closed(std::uint64_t number);

    hooks hooks_;
    std::shared_ptr<message_channel> channel_;
    /** Identifies the channel, so that the end of a replaced one is ignored. */
    std::uint64_t channel_number_ = 0;
};

/** The upstream end: receives operations from many senders and returns their results. */
class run_server {
  public:
    /** Calls \p forward_operations once for all operations that arrive in one iteration of the
     * event loop. */
    run_server(metrics_registry& metrics, std::function<void()> forward_operations);
    run_server(const run_server&) = delete;
    auto operator=(const run_server&) -> run_server& = delete;
    run_server(run_server&&) = delete;
    auto operator=(run_server&&) -> run_server& = delete;
    ~run_server() = default;

    /** Accepts a sender's channel and returns the hooks of its stream. */
    auto accept(const std::shared_ptr<h2_connection>& connection, stream_id stream) -> stream_hooks;

    /** Receives the results of one sender's operations. */
    using results_hook = std::function<void(const std::vector<run_result>& results)>;
    /** Adds a sender without a channel to this process; its results go to \p on_results. */
    auto add_sender(results_hook on_results) -> run_sender_id;
    void receive(run_sender_id from, std::vector<run_operation> operations);

    [[nodiscard]] auto forwarder() -> run_forwarder& { return forwarder_; }
    /** Sends the available results to their senders. */
    void send_results();

  private:
    run_forwarder forwarder_;
    std::function<void()> forward_operations_;
    std::map<run_sender_id, results_hook> senders_;
    run_sender_id next_sender_ = 1;
    counter& operations_;
    deadline_timer dispatch_timer_{[this] {
        forward_operations_();
    }};
    QTimer tick_timer_;
};

} // namespace sycamorewinch
