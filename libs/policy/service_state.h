/** \file
 * The state that a node keeps for one service across route tables: its retry budget and the handles
 * of its metrics. A handle is resolved on first use; after that, a request takes no lock and does
 * no lookup.
 */
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>

#include "observability/metric_handle.h"
#include "observability/metrics.h"
#include "policy/retry_policy.h"
#include "policy/target_health.h"
#include "policy/timeout_estimator.h"

namespace sycamorewinch {

/** The state of one service. Safe from any thread, except health_of(). */
class service_state {
  public:
    service_state(metrics_registry& registry, std::string service)
        : registry_(registry), service_(std::move(service))
    {
    }

    void count_refusal(refusal_reason reason, std::uint64_t amount = 1);
    void count_retry(retry_reason reason, std::uint64_t amount = 1);
    /** Counts a call that was not retried after an attempt of it was refused. */
    void count_not_retried(retry_decision decision, std::uint64_t amount = 1);
    void record_call(duration elapsed);

    /** Creates every counter at 0, so that rate queries see the first increment. */
    void register_counters();

    /** Returns this node's health record of \p target. Only for the thread that publishes
     * routes. */
    auto health_of(const std::string& target) -> std::shared_ptr<target_health>;

    [[nodiscard]] auto budget() -> retry_budget& { return budget_; }
    /** The times that callers state in calls to the rows of this service. */
    [[nodiscard]] auto caller_timeouts() -> timeout_estimator& { return caller_timeouts_; }

  private:
    metrics_registry& registry_;
    std::string service_;
    retry_budget budget_;
    timeout_estimator caller_timeouts_;
    std::array<metric_handle<counter>, refusal_reason_count> refusals_;
    std::array<metric_handle<counter>, retry_reason_count> retries_;
    std::array<metric_handle<counter>, retry_decision_count> no_retries_;
    metric_handle<histogram> call_seconds_;
    /** Of the targets in any live route table. */
    std::map<std::string, std::weak_ptr<target_health>> health_;
};

/** The states of all services that were ever in a table in force. For one thread. */
class service_states {
  public:
    explicit service_states(metrics_registry& registry) : registry_(registry) {}

    /** Returns the state of \p service, created on first use. */
    auto of(const std::string& service) -> std::shared_ptr<service_state>;

  private:
    metrics_registry& registry_;
    std::map<std::string, std::shared_ptr<service_state>> states_;
};

} // namespace sycamorewinch
