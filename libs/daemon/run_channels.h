/** \file
 * Carries operations on the record of unrepeatable requests between processes, on a channel of its
 * own beside the distribution channel, on the same connection.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <QTimer>

#include "observability/metrics.h"
#include "run_record/run_forwarder.h"
#include "transport/message_channel.h"

namespace sycamorewinch {

/** The path of the channel. */
constexpr std::string_view runs_path = "/channel/runs";

/** The lower end: sends operations, receives results. */
class run_uplink {
  public:
    struct hooks {
        std::function<void()> on_connected_;
        std::function<void()> on_lost_;
        std::function<void(const std::vector<run_result>& results)> on_results_;
    };

    explicit run_uplink(hooks hooks) : hooks_(std::move(hooks)) {}
    run_uplink(const run_uplink&) = delete;
    auto operator=(const run_uplink&) -> run_uplink& = delete;
    run_uplink(run_uplink&&) = delete;
    auto operator=(run_uplink&&) -> run_uplink& = delete;
    ~run_uplink();

    /** Opens the channel on \p connection, in place of an earlier one. */
    void open(h2_connection& connection);
    [[nodiscard]] auto is_open() const -> bool { return channel_ != nullptr; }
    /** Sends operations; dropped while there is no channel. */
    void send(const std::vector<run_operation>& operations);

  private:
    void on_closed(std::uint64_t number);

    hooks hooks_;
    std::shared_ptr<message_channel> channel_;
    std::uint64_t number_ = 0; ///< Of the channel, so that the end of an old one is told apart.
};

/** The upper end: takes operations from many senders and returns their results. */
class run_server {
  public:
    /** \p pass_on is called once for the operations that arrive in one turn of the event loop. */
    run_server(metrics_registry& metrics, std::function<void()> pass_on);
    run_server(const run_server&) = delete;
    auto operator=(const run_server&) -> run_server& = delete;
    run_server(run_server&&) = delete;
    auto operator=(run_server&&) -> run_server& = delete;
    ~run_server() = default;

    /** Takes a sender's channel request; returns the hooks of its stream. */
    auto accept(const std::shared_ptr<h2_connection>& connection, stream_id stream) -> stream_hooks;

    /** Takes operations from a sender that has no channel here; its results go to \p answer. */
    using answer_hook = std::function<void(const std::vector<run_result>& results)>;
    auto add_sender(answer_hook answer) -> run_sender;
    void receive(run_sender from, std::vector<run_operation> operations);

    [[nodiscard]] auto logic() -> run_forwarder& { return forwarder_; }
    /** Sends the results that are ready. */
    void answer();

  private:
    run_forwarder forwarder_;
    std::function<void()> pass_on_;
    std::map<run_sender, answer_hook> senders_;
    run_sender next_sender_ = 1;
    counter& operations_;
    QTimer flush_;
    QTimer ticker_;
};

} // namespace sycamorewinch
