/** \file
 * Plans the next command of every running roll-out from what nodes report.
 *
 * Every control process feeds its planner, so that a new leader has the evidence; only the leader
 * proposes what next() returns. The time is a parameter.
 */
#pragma once

#include <optional>

#include "base/time.h"
#include "rollout/rollout_judge.h"
#include "rollout/rollout_records.h"
#include "rollout/version_report.h"

namespace sycamorewinch {

/** What the planner must know of the group. */
struct rollout_group_view {
    bool has_quorum_contact_ = false;
    duration leading_for_{}; ///< Since this process became the leader.
};

/** The steps of a roll-out. */
struct rollout_plan_options {
    judge_options judge_;
    /** Without contact to a quorum, with a leader newer than this, or without reports for this
     * long, the share does not grow. */
    duration stability_time_ = std::chrono::seconds(1);
    /** The elapsed time is stored at least this often, so that no more is lost if every process
     * restarts. */
    duration store_period_ = std::chrono::seconds(1);
    /** An uncommitted command is proposed again after this time. */
    duration proposal_timeout_ = std::chrono::milliseconds(500);
    /** An order for a version that was rolled back longer ago than this is a new order. Operators
     * resend an order for 4 s, and may order again 10 s after the end; the difference allows for
     * the delay until this process learns of the end. */
    duration repetition_time_ = std::chrono::milliseconds(9'500);
    /** Responses of the new version that the judge needs at each share before it grows. */
    double needed_responses_ = 10;
    /** Responses of the new version that each row with a tenth of the calls needs before the share
     * exceeds a quarter. Of 24 calls, a version that fails 0.39 fails less than 4 with a
     * probability of 0.004; of the 10 that such a row gets at 5 % of 100 calls/s, with 0.35. */
    double needed_row_responses_ = 24;
};

/** The share at which every roll-out starts, in the unit of rollout::share_. */
constexpr std::uint32_t initial_rollout_share = 50;

/** The planner of one control process. */
class rollout_planner {
  public:
    explicit rollout_planner(rollout_plan_options options = {}) : options_(options) {}

    /** Notes the times of changes in \p records; call often, and after each command. */
    void observe(const rollout_records& records, instant now);

    /** Adds a report of the nodes below the control process \p source. */
    void on_report(const std::string& source, const version_report& report, instant now);

    /** Returns the commands that the leader should propose now. Call observe() first. */
    [[nodiscard]] auto next(const rollout_records& records, const rollout_group_view& group,
                            instant now) -> std::vector<rollout_command>;

    /** Returns the command for an order given now. */
    [[nodiscard]] auto make_order(const std::string& service, const std::string& version,
                                  std::uint64_t duration_ms, instant now) const -> rollout_command;

    /** Returns the elapsed time of the running roll-out of \p service in milliseconds. */
    [[nodiscard]] auto elapsed_ms(const rollout_record& record, instant now) const -> std::uint64_t;

  private:
    /** The requests in flight at the targets below one control process. */
    struct source_load {
        instant reported_at_{};
        std::uint64_t old_in_flight_ = 0;
        std::uint64_t old_targets_ = 0;
    };

    /** What this process knows of the roll-out of one service. */
    struct tracked_rollout {
        std::uint64_t id_ = 0;
        std::uint64_t step_ = 0;
        instant step_seen_at_{};
        std::string new_version_;
        bool is_running_ = false;
        std::uint64_t elapsed_at_step_ms_ = 0;
        std::uint64_t period_ms_ = 1; ///< Length of the periods in rows_.
        std::uint32_t share_ = 0;
        std::size_t whole_since_period_ = 0; ///< The period in which the share became whole.
        std::map<std::string, compared_periods> rows_;
        double new_responses_at_share_ = 0;
        double old_responses_ = 0;
        std::optional<std::uint64_t> first_response_ms_; ///< Of the new version.
        std::map<std::string, source_load> loads_;
        std::optional<instant> reported_at_;
        std::uint64_t old_targets_ = 0;
        instant old_targets_fell_at_{};
        instant proposed_at_{};
        std::optional<rollout_command> proposed_;

        [[nodiscard]] auto elapsed_ms(instant now) const -> std::uint64_t;
        auto period_at(const std::string& row, instant now) -> compared_counts&;
    };

    void add_samples(tracked_rollout& tracked, const version_report& report,
                     const std::string& service, instant now) const;
    void update_load(tracked_rollout& tracked, const std::string& source,
                     const version_report& report, const std::string& service, instant now) const;
    void expire_loads(tracked_rollout& tracked, instant now) const;
    [[nodiscard]] auto judge(const tracked_rollout& tracked) const -> judge_finding;
    [[nodiscard]] auto has_evidence(const tracked_rollout& tracked) const -> bool;
    [[nodiscard]] auto has_row_evidence(const tracked_rollout& tracked) const -> bool;
    [[nodiscard]] auto is_stable(const tracked_rollout& tracked, const rollout_group_view& group,
                                 instant now) const -> bool;
    [[nodiscard]] auto is_share_due(const rollout_record& record, const tracked_rollout& tracked,
                                    std::uint64_t elapsed) const -> bool;
    [[nodiscard]] auto can_complete(const rollout_record& record, const tracked_rollout& tracked,
                                    std::uint64_t elapsed, instant now) const -> bool;
    [[nodiscard]] auto plan(const rollout_record& record, tracked_rollout& tracked,
                            const rollout_group_view& group, instant now)
        -> std::optional<rollout_command>;

    rollout_plan_options options_;
    std::map<std::string, tracked_rollout, std::less<>> tracked_;
};

} // namespace sycamorewinch
