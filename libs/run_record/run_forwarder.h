/** \file
 * Forwards operations upstream and their results back to the senders, in relays and control
 * processes.
 *
 * Performs no I/O. Operations from all senders are merged into one batch; a result is routed to
 * its sender by the attempt id. The number of pending attempts is limited. Operations beyond the
 * limit, and those without a result within the timeout, are answered with
 * run_verdict::unreachable.
 */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "run_record/run_operation.h"

namespace sycamorewinch {

/** Identifies a sender of operations, such as a connection. */
using run_sender_id = std::uint64_t;

/** Options of a run_forwarder. */
struct run_forwarder_options {
    duration response_timeout_ = std::chrono::seconds(3);
    std::size_t max_pending_ = 65'536;
    /** A batch is one message and one entry of the replicated log. */
    std::size_t max_batch_operations_ = 16'384;
    std::size_t max_batch_outcome_bytes_ = 4U * 1024 * 1024;
};

/** Forwards the operations of many senders to one upstream. */
class run_forwarder {
  public:
    explicit run_forwarder(run_forwarder_options options = {}) : options_(options) {}

    void on_operations(run_sender_id sender, std::vector<run_operation> operations, instant now);
    void on_results(const std::vector<run_result>& results);
    /** Answers all pending attempts with unreachable; no result will arrive for them. */
    void on_upstream_disconnected();
    /** Drops the pending attempts and undelivered results of \p sender. */
    void on_sender_disconnected(run_sender_id sender);
    /** Answers attempts that have timed out with unreachable. */
    void tick(instant now);

    [[nodiscard]] auto has_operations() const -> bool { return !outgoing_operations_.empty(); }
    /** Removes and returns the operations to send upstream next, in order of arrival, at most one
     * batch of them. */
    [[nodiscard]] auto take_operations() -> std::vector<run_operation>;
    /** Returns and clears the results to return, by sender. */
    [[nodiscard]] auto take_results() -> std::map<run_sender_id, std::vector<run_result>>;

  private:
    struct pending_attempt {
        run_sender_id sender_ = 0;
        /** More than one if a release was sent before the reservation was answered. */
        std::size_t unanswered_operations_ = 0;
        instant deadline_;
    };

    run_forwarder_options options_;
    std::map<digest, pending_attempt> pending_; ///< By attempt id.
    std::vector<run_operation> outgoing_operations_;
    std::map<run_sender_id, std::vector<run_result>> outgoing_results_;
};

} // namespace sycamorewinch
