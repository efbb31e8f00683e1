/** \file
 * The state that a node keeps for one organisation across tables: the handles of its metrics.
 */
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "observability/metric_handle.h"
#include "observability/metrics.h"
#include "policy/refusal.h"

namespace sycamorewinch {

/** The metrics of one organisation, or of all those beyond max_measured_organisations. Thread-safe.
 */
class organisation_state {
  public:
    organisation_state(metrics_registry& registry, std::string label)
        : registry_(registry), label_(std::move(label))
    {
    }

    /** Counts a call that presented a key of the organisation. */
    void count_call();
    void count_refusal(refusal_reason reason);

  private:
    metrics_registry& registry_;
    std::string label_;
    metric_handle<counter> calls_;
    std::array<metric_handle<counter>, refusal_reason_count> refusals_;
};

/** The number of organisations with metrics of their own; further ones share the label `other`. */
constexpr std::size_t max_measured_organisations = 1'000;

/** The states of all organisations that were ever in a table in force. For one thread. */
class organisation_states {
  public:
    explicit organisation_states(metrics_registry& registry) : registry_(registry) {}

    /** Returns the state of the organisation \p name, created on first use. */
    auto of(const std::string& name) -> std::shared_ptr<organisation_state>;

  private:
    metrics_registry& registry_;
    std::map<std::string, std::shared_ptr<organisation_state>> states_;
    std::shared_ptr<organisation_state> other_;
};

} // namespace sycamorewinch
