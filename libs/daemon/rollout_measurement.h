/** \file
 * Measures the targets beside a node for the roll-outs of their services.
 *
 * Only targets of services with a running roll-out have a version_meter; the request path of the
 * others counts nothing.
 */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "distribution/subscriber.h"
#include "membership/target_record.h"
#include "policy/admission_controller.h"
#include "policy/target_meter.h"
#include "policy/version_meter.h"
#include "rollout/version_report.h"

namespace sycamorewinch {

/** The period of version reports. */
constexpr auto version_report_period = std::chrono::milliseconds(250);

/** The current requests of one target beside this node. */
struct local_target_load {
    target_record record_;
    std::uint64_t in_flight_ = 0; ///< Running or waiting.
};

/** The meters of the targets beside one node. For one thread. */
class rollout_measurement {
  public:
    /** Sets the roll-outs in force. The meters of services without a running roll-out are dropped;
     * their last samples are lost, since the roll-out has been decided. Returns whether the result
     * of meter_of() may have changed. */
    auto set_rollouts(rollouts_pointer rollouts) -> bool;

    /** Returns the roll-outs in \p next that are not in the set in force. */
    [[nodiscard]] auto changed_rollouts(const rollout_set& next) const -> std::vector<rollout>;

    /** Returns the meter of the target with its present software version, or nullptr if no roll-out
     * of its service is running. */
    [[nodiscard]] auto meter_of(const target_record& record) -> std::shared_ptr<version_meter>;

    /** Returns whether a target beside this node belongs to a running roll-out. */
    [[nodiscard]] auto is_active() const -> bool { return !meters_.empty(); }

    /** Returns the counts since the previous report and the present loads of \p targets, which may
     * include targets of other services. */
    [[nodiscard]] auto make_report(const std::vector<local_target_load>& targets) -> version_report;

  private:
    /** Service, target, software version. A target that restarts with another version under its
     * name gets another meter. */
    using meter_key = std::tuple<std::string, std::string, std::string>;

    [[nodiscard]] auto is_running(const std::string& service) const -> bool;

    rollouts_pointer rollouts_ = std::make_shared<const rollout_set>();
    std::map<meter_key, std::shared_ptr<version_meter>> meters_;
};

} // namespace sycamorewinch
