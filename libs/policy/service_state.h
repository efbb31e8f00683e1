/** \file
 * What a node keeps of one service from one route table to the next: its retry budget and the
 * handles of its counters. A handle is resolved on first use; after that neither lock nor lookup
 * lies on a request's path.
 */
#pragma once

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "observability/metrics.h"
#include "policy/retry_policy.h"
#include "policy/target_health.h"
#include "policy/usual_deadline.h"

namespace sycamorewinch {

/** One service's state. Safe from any thread. */
class service_state {
  public:
    service_state(metrics_registry& registry, std::string service)
        : registry_(registry), service_(std::move(service))
    {
    }

    void count_refusal(refusal_reason reason, std::uint64_t amount = 1);
    void count_retry(retry_reason reason, std::uint64_t amount = 1);
    /** Counts a call that was not tried again, though one of its attempts was refused. */
    void count_not_retried(retry_decision decision, std::uint64_t amount = 1);
    void record_call(duration taken);

    /** Makes every counter show from now on, so that a rate over it has its zero. */
    void register_counters();

    /** Returns what this node saw of \p target. For the thread that publishes routes. */
    auto health_of(const std::string& target) -> std::shared_ptr<target_health>;

    [[nodiscard]] auto budget() -> retry_budget& { return budget_; }
    /** What callers of the row of this name usually allow. */
    [[nodiscard]] auto caller_timeouts() -> usual_deadline& { return deadline_; }

  private:
    using handle = std::atomic<counter*>;

    metrics_registry& registry_;
    std::string service_;
    retry_budget budget_;
    usual_deadline deadline_;
    std::array<handle, refusal_reason_count> refusals_{};
    std::array<handle, retry_reason_count> retries_{};
    std::array<handle, retry_decision_count> no_retries_{};
    std::atomic<histogram*> seconds_{nullptr};
    std::map<std::string, std::weak_ptr<target_health>> health_; ///< Of the targets in any routes.
};

/** The states of all services that were ever in force. For one thread. */
class service_states {
  public:
    explicit service_states(metrics_registry& registry) : registry_(registry) {}

    /** Returns the state of \p service, made on first use. */
    auto of(const std::string& service) -> std::shared_ptr<service_state>;

  private:
    metrics_registry& registry_;
    std::map<std::string, std::shared_ptr<service_state>> states_;
};

} // namespace sycamorewinch
