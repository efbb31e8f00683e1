#include "rollout/rollout_planner.h"

#include <algorithm>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr std::uint32_t quarter_share = whole_share / 4;
constexpr std::uint32_t half_share = whole_share / 2;
/** The parts of the duration for which each share is kept: half of it for the initial share. */
constexpr std::uint64_t initial_part = 2;
constexpr std::uint64_t growth_part = 16;
/** The new version must have answered for a quarter of the duration before the share first grows,
 * also when its targets were started late: a version may turn bad 3 s after its start. */
constexpr std::uint64_t observation_part = 4;
constexpr std::uint64_t evidence_deadline_percent = 85;
constexpr std::uint64_t percent = 100;
/** From then on rows with few calls no longer delay the growth; a good version must be completed
 * within the duration. */
constexpr std::uint64_t row_evidence_deadline_percent = 70;
constexpr double relevant_part_of_calls = 0.1;
constexpr std::uint64_t completion_delay_ms = 1'000;
/** Periods in which responses are compared: short enough for a decision within half a second, few
 * enough that a long roll-out costs no more than a short one. */
constexpr std::uint64_t min_period_ms = 250;
constexpr std::uint64_t periods_per_duration = 64;
/** After the share became whole, the old version's responses of this many earlier periods serve as
 * the reference. */
constexpr std::size_t reference_periods = 16;
/** A load that was not reported again is dropped after this time. */
constexpr duration load_lifetime = std::chrono::seconds(1);
/** While nodes move to another control process, the requests at their targets are unknown. */
constexpr duration node_move_time = std::chrono::seconds(2);

auto next_share(std::uint32_t share) -> std::uint32_t
{
    if (share < quarter_share) {
        return quarter_share;
    }
    return share < half_share ? half_share : whole_share;
}

/** Replaces the responses of the old version in \p periods, from \p whole_since on, by their
 * average in the periods before. */
void use_earlier_reference(compared_periods& periods, std::size_t whole_since)
{
    const auto end = std::min(whole_since, periods.size());
    const auto begin = end - std::min(end, reference_periods);
    response_counts average;
    for (auto index = begin; index < end; ++index) {
        average.add(periods[index].old_);
    }
    if (end > begin) {
        const auto count = static_cast<double>(end - begin);
        average = {average.responses_ / count, average.failures_ / count, average.slow_ / count};
    }
    for (auto index = end; index < periods.size(); ++index) {
        periods[index].old_ = average;
    }
}

auto command_for(const rollout_record& record, rollout_command_kind kind, std::uint64_t elapsed)
    -> rollout_command
{
    rollout_command command;
    command.kind_ = kind;
    command.service_ = record.rollout_.service_;
    command.id_ = record.rollout_.id_;
    command.step_ = record.step_;
    command.share_ = record.rollout_.share_;
    command.elapsed_ms_ = elapsed;
    return command;
}

auto end_command(const rollout_record& record, rollout_state state, std::uint64_t elapsed,
                 std::string reason) -> rollout_command
{
    auto command = command_for(record, rollout_command_kind::end, elapsed);
    command.state_ = state;
    command.reason_ = std::move(reason);
    return command;
}

} // namespace

auto rollout_planner::tracked_rollout::elapsed_ms(instant now) const -> std::uint64_t
{
    const auto since = std::max(now - step_seen_at_, duration::zero());
    return elapsed_at_step_ms_ + static_cast<std::uint64_t>(to_milliseconds(since));
}

auto rollout_planner::tracked_rollout::period_at(const std::string& row, instant now)
    -> compared_counts&
{
    auto& periods = rows_[row];
    const auto index = static_cast<std::size_t>(elapsed_ms(now) / period_ms_);
    if (periods.size() <= index) {
        periods.resize(index + 1);
    }
    return periods.back();
}

void rollout_planner::observe(const rollout_records& records, instant now)
{
    for (const auto& [service, record] : records.all()) {
        const auto& rollout = record.rollout_;
        auto& tracked = tracked_[service];
        if (tracked.id_ != rollout.id_) {
            tracked = {};
            tracked.id_ = rollout.id_;
            tracked.new_version_ = rollout.new_version_;
            tracked.period_ms_ =
                std::max(min_period_ms, record.duration_ms_ / periods_per_duration);
            tracked.old_targets_fell_at_ = now;
        }
        else if (tracked.step_ == record.step_) {
            continue;
        }
        // The time since a command was proposed belongs to the elapsed time, so a process that has
        // measured more than the command states keeps its own measurement.
        const auto measured = tracked.is_running_ ? tracked.elapsed_ms(now) : 0;
        tracked.elapsed_at_step_ms_ = std::max(record.elapsed_ms_, measured);
        tracked.step_ = record.step_;
        tracked.step_seen_at_ = now;
        if (tracked.share_ != rollout.share_) {
            tracked.share_ = rollout.share_;
            tracked.new_responses_at_share_ = 0;
            tracked.whole_since_period_ =
                static_cast<std::size_t>(record.elapsed_ms_ / tracked.period_ms_);
        }
        tracked.is_running_ = rollout.state_ == rollout_state::running;
        if (!tracked.is_running_) {
            tracked.rows_.clear();
            tracked.loads_.clear();
        }
    }
}

void rollout_planner::on_report(const std::string& source, const version_report& report,
                                instant now)
{
    for (auto& [service, tracked] : tracked_) {
        if (tracked.is_running_) {
            add_samples(tracked, report, service, now);
            update_load(tracked, source, report, service, now);
        }
    }
}

void rollout_planner::add_samples(tracked_rollout& tracked, const version_report& report,
                                  const std::string& service, instant now) const
{
    for (const auto& sample : report.samples_) {
        if (sample.service_ != service) {
            continue;
        }
        const response_counts counts{static_cast<double>(sample.responses_),
                                     static_cast<double>(sample.failures_),
                                     static_cast<double>(sample.slow_)};
        tracked.reported_at_ = now;
        auto& period = tracked.period_at(sample.row_, now);
        if (sample.version_ != tracked.new_version_) {
            period.old_.add(counts);
            tracked.old_responses_ += counts.responses_;
            continue;
        }
        period.new_.add(counts);
        tracked.new_responses_at_share_ += counts.responses_;
        if (!tracked.first_response_ms_ && sample.responses_ > 0) {
            tracked.first_response_ms_ = tracked.elapsed_ms(now);
        }
    }
}

void rollout_planner::update_load(tracked_rollout& tracked, const std::string& source,
                                  const version_report& report, const std::string& service,
                                  instant now) const
{
    source_load load{.reported_at_ = now};
    bool has_load = false;
    for (const auto& entry : report.loads_) {
        if (entry.service_ != service) {
            continue;
        }
        has_load = true;
        if (entry.version_ != tracked.new_version_) {
            load.old_in_flight_ += entry.in_flight_;
            load.old_targets_ += entry.targets_;
        }
    }
    if (has_load) {
        tracked.reported_at_ = now;
        tracked.loads_[source] = load;
        expire_loads(tracked, now);
    }
}

void rollout_planner::expire_loads(tracked_rollout& tracked, instant now) const
{
    std::erase_if(tracked.loads_, [now](const auto& entry) {
        return now - entry.second.reported_at_ > load_lifetime;
    });
    std::uint64_t targets = 0;
    for (const auto& [source, load] : tracked.loads_) {
        targets += load.old_targets_;
    }
    if (targets < tracked.old_targets_) {
        tracked.old_targets_fell_at_ = now;
    }
    tracked.old_targets_ = targets;
}

auto rollout_planner::judge(const tracked_rollout& tracked) const -> judge_finding
{
    if (tracked.share_ < whole_share) {
        return judge_rollout(tracked.rows_, options_.judge_);
    }
    auto rows = tracked.rows_;
    for (auto& [row, periods] : rows) {
        use_earlier_reference(periods, tracked.whole_since_period_);
    }
    return judge_rollout(rows, options_.judge_);
}

auto rollout_planner::has_evidence(const tracked_rollout& tracked) const -> bool
{
    // At the whole share nothing new can be learnt of the old version, so a leader that was just
    // restarted must not wait for it.
    const bool has_reference = tracked.old_responses_ >= options_.needed_responses_ ||
                               tracked.old_targets_ == 0 || tracked.share_ == whole_share;
    return has_reference && tracked.new_responses_at_share_ >= options_.needed_responses_;
}

auto rollout_planner::has_row_evidence(const tracked_rollout& tracked) const -> bool
{
    std::vector<std::pair<double, double>> rows; // all responses, those of the new version
    double all = 0;
    for (const auto& [row, periods] : tracked.rows_) {
        compared_counts sum;
        for (const auto& period : periods) {
            sum.new_.add(period.new_);
            sum.old_.add(period.old_);
        }
        rows.emplace_back(sum.new_.responses_ + sum.old_.responses_, sum.new_.responses_);
        all += rows.back().first;
    }
    return std::ranges::all_of(rows, [this, all](const auto& row) {
        return row.first < all * relevant_part_of_calls ||
               row.second >= options_.needed_row_responses_;
    });
}

auto rollout_planner::is_stable(const tracked_rollout& tracked, const rollout_group_view& group,
                                instant now) const -> bool
{
    return group.has_quorum_contact_ && group.leading_for_ >= options_.stability_time_ &&
           tracked.reported_at_ && now - *tracked.reported_at_ <= options_.stability_time_;
}

auto rollout_planner::is_share_due(const rollout_record& record, const tracked_rollout& tracked,
                                   std::uint64_t elapsed) const -> bool
{
    if (record.rollout_.share_ > initial_rollout_share) {
        const bool is_late =
            elapsed * percent >= record.duration_ms_ * row_evidence_deadline_percent;
        return elapsed >= record.share_since_ms_ + record.duration_ms_ / growth_part &&
               (is_late || has_row_evidence(tracked));
    }
    return elapsed >= record.duration_ms_ / initial_part && tracked.first_response_ms_ &&
           elapsed >= *tracked.first_response_ms_ + record.duration_ms_ / observation_part;
}

auto rollout_planner::can_complete(const rollout_record& record, const tracked_rollout& tracked,
                                   std::uint64_t elapsed, instant now) const -> bool
{
    const bool is_idle = std::ranges::all_of(
        tracked.loads_, [](const auto& entry) { return entry.second.old_in_flight_ == 0; });
    return is_idle && !tracked.loads_.empty() &&
           elapsed >= record.share_since_ms_ + completion_delay_ms &&
           now - tracked.old_targets_fell_at_ >= node_move_time;
}

auto rollout_planner::plan(const rollout_record& record, tracked_rollout& tracked,
                           const rollout_group_view& group, instant now)
    -> std::optional<rollout_command>
{
    const auto elapsed = tracked.elapsed_ms(now);
    expire_loads(tracked, now);
    const auto finding = judge(tracked);
    if (finding.is_bad_) {
        return end_command(record, rollout_state::rolled_back, elapsed,
                           describe(finding.evidence_));
    }
    const bool is_whole = record.rollout_.share_ == whole_share;
    const bool has_enough = has_evidence(tracked);
    if (!is_whole && elapsed >= record.duration_ms_) {
        return end_command(record, rollout_state::rolled_back, elapsed,
                           "not all calls had moved when the duration ended");
    }
    if (!is_whole && !has_enough &&
        elapsed * percent >= record.duration_ms_ * evidence_deadline_percent) {
        return end_command(record, rollout_state::rolled_back, elapsed,
                           fmt::format("insufficient evidence: {:.0f} responses at this share, {} "
                                       "needed",
                                       tracked.new_responses_at_share_,
                                       options_.needed_responses_));
    }
    if (has_enough && !finding.is_suspicious_ && is_stable(tracked, group, now)) {
        if (is_whole && can_complete(record, tracked, elapsed, now)) {
            return end_command(record, rollout_state::completed, elapsed,
                               "no request is in flight to the old version");
        }
        if (!is_whole && is_share_due(record, tracked, elapsed)) {
            auto command = command_for(record, rollout_command_kind::step, elapsed);
            command.share_ = next_share(record.rollout_.share_);
            command.reason_ = fmt::format("{:.0f} responses at the previous share, not worse",
                                          tracked.new_responses_at_share_);
            return command;
        }
    }
    if (elapsed >=
        record.elapsed_ms_ + static_cast<std::uint64_t>(to_milliseconds(options_.store_period_))) {
        return command_for(record, rollout_command_kind::step, elapsed);
    }
    return std::nullopt;
}

auto rollout_planner::next(const rollout_records& records, const rollout_group_view& group,
                           instant now) -> std::vector<rollout_command>
{
    std::vector<rollout_command> commands;
    for (const auto& [service, record] : records.all()) {
        const auto found = tracked_.find(service);
        if (record.rollout_.state_ != rollout_state::running || found == tracked_.end() ||
            found->second.id_ != record.rollout_.id_) {
            continue;
        }
        auto& tracked = found->second;
        auto command = plan(record, tracked, group, now);
        if (!command) {
            continue;
        }
        const auto& earlier = tracked.proposed_;
        const bool is_pending = earlier && earlier->step_ == command->step_ &&
                                earlier->kind_ == command->kind_ &&
                                earlier->share_ == command->share_ &&
                                now - tracked.proposed_at_ < options_.proposal_timeout_;
        if (!is_pending) {
            tracked.proposed_ = *command;
            tracked.proposed_at_ = now;
            commands.push_back(std::move(*command));
        }
    }
    return commands;
}

auto rollout_planner::make_order(const std::string& service, const std::string& version,
                                 std::uint64_t duration_ms, instant now) const -> rollout_command
{
    rollout_command order;
    order.service_ = service;
    order.version_ = version;
    order.duration_ms_ = duration_ms;
    order.share_ = initial_rollout_share;
    const auto found = tracked_.find(service);
    order.repeats_rolled_back_ = found != tracked_.end() && !found->second.is_running_ &&
                                 now - found->second.step_seen_at_ >= options_.repetition_time_;
    return order;
}

auto rollout_planner::elapsed_ms(const rollout_record& record, instant now) const -> std::uint64_t
{
    const auto found = tracked_.find(record.rollout_.service_);
    const bool is_tracked = found != tracked_.end() && found->second.id_ == record.rollout_.id_;
    return record.rollout_.state_ == rollout_state::running && is_tracked
               ? found->second.elapsed_ms(now)
               : record.elapsed_ms_;
}

} // namespace sycamorewinch
