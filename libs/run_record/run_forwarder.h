/** \file
 * Passes operations upwards and their results back down, in relays and control processes.
 *
 * Pure. Operations from all senders are taken together as one batch; a result finds its sender by
 * the attempt. What waits is bounded; beyond that, and after a time without an answer, the sender
 * is told that the record is unreachable.
 */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "run_record/run_operation.h"

namespace sycamorewinch {

/** Names whoever sent operations. */
using run_sender = std::uint64_t;

/** The bounds of a forwarder. */
struct run_forwarder_options {
    duration patience_ = std::chrono::seconds(3);
    std::size_t max_waiting_ = 65'536;
};

/** Joins many senders to one upstream. */
class run_forwarder {
  public:
    explicit run_forwarder(run_forwarder_options options = {}) : options_(options) {}

    void on_operations(run_sender from, std::vector<run_operation> operations, instant now);
    void on_results(const std::vector<run_result>& results);
    /** No answer will come to what was passed on. */
    void on_upstream_lost();
    void on_gone(run_sender from);
    void tick(instant now);

    [[nodiscard]] auto has_upward() const -> bool { return !upward_.empty(); }
    /** Returns and clears the operations for upstream, in the order they came. */
    [[nodiscard]] auto take_upward() -> std::vector<run_operation>;
    /** Returns and clears the results for each sender. */
    [[nodiscard]] auto take_downward() -> std::map<run_sender, std::vector<run_result>>;

  private:
    struct waiting_attempt {
        run_sender from_ = 0;
        std::size_t operations_ = 0; ///< A release may follow its reservation before the answer.
        instant give_up_;
    };

    run_forwarder_options options_;
    std::map<digest, waiting_attempt> waiting_; ///< By attempt.
    std::vector<run_operation> upward_;
    std::map<run_sender, std::vector<run_result>> downward_;
};

} // namespace sycamorewinch
