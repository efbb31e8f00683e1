#include "simulated_service.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace sycamorewinch::testing {

namespace {

constexpr int rows = 4;
constexpr double mean_latency_ms = 20;
constexpr double target_latency_ms = 80;
constexpr std::int64_t report_period_ms = 250;
constexpr std::int64_t report_delay_ms = 60;
constexpr std::int64_t commit_delay_ms = 40;
constexpr std::int64_t publish_delay_ms = 100;
constexpr std::int64_t plan_period_ms = 100;
constexpr std::int64_t election_ms = 1'000;
constexpr std::int64_t time_after_deadline_ms = 5'000;

auto at(std::int64_t milliseconds) -> instant
{
    return instant{} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

struct response {
    bool is_new_ = false;
    int row_ = 0;
    bool has_failed_ = false;
    bool is_slow_ = false;
    bool is_bad_ = false;
};

class simulation {
  public:
    explicit simulation(const simulated_load& load)
        : load_(load), random_(seeded_random(load.seed_))
    {
    }

    auto run() -> simulated_result
    {
        propose(planners_[0].make_order("s", "2", static_cast<std::uint64_t>(load_.duration_ms_),
                                        at(0)));
        apply_due(commit_delay_ms);
        const auto end = load_.duration_ms_ + time_after_deadline_ms;
        for (now_ = commit_delay_ms; now_ < end; ++now_) {
            apply_due(now_);
            send_requests();
            finish_responses();
            report();
            plan();
        }
        return result_;
    }

  private:
    void propose(const rollout_command& command)
    {
        proposals_.emplace(now_ + commit_delay_ms, command);
    }

    void apply_due(std::int64_t now)
    {
        while (!proposals_.empty() && proposals_.begin()->first <= now) {
            const auto command = proposals_.begin()->second;
            proposals_.erase(proposals_.begin());
            const auto sequence = records_.sequence();
            records_.apply(command);
            for (auto& planner : planners_) {
                planner.observe(records_, at(now));
            }
            if (records_.sequence() != sequence) {
                on_changed(now);
            }
        }
    }

    void on_changed(std::int64_t now)
    {
        const auto& record = *records_.find("s");
        published_.emplace(now + publish_delay_ms, record.rollout_);
        if (record.rollout_.state_ == rollout_state::running) {
            result_.shares_.push_back(record.rollout_.share_);
        }
        else if (result_.ended_at_ms_ < 0) {
            result_.state_ = record.rollout_.state_;
            result_.ended_at_ms_ = now;
            result_.reason_ = record.steps_.back().reason_;
            result_.old_in_flight_at_end_ = in_flight(false);
        }
    }

    auto goes_to_new() -> bool
    {
        while (!published_.empty() && published_.begin()->first <= now_) {
            routed_ = published_.begin()->second;
            published_.erase(published_.begin());
        }
        if (now_ < load_.new_targets_from_ms_ || routed_.state_ == rollout_state::rolled_back) {
            return false;
        }
        return uniform_below(random_, whole_share) < routed_.share_;
    }

    /** Returns the load of a target of the new version relative to one of the old version before
     * the roll-out. */
    [[nodiscard]] auto relative_load() const -> double
    {
        const auto share = static_cast<double>(routed_.share_) / whole_share;
        return share * load_.targets_ / std::ceil(share * load_.targets_);
    }

    auto respond(bool is_new, int row) -> std::pair<response, double>
    {
        const auto& behaviour = is_new ? load_.new_ : load_.old_;
        const bool is_affected = now_ >= behaviour.changes_at_ms_ &&
                                 (behaviour.bad_row_ < 0 || behaviour.bad_row_ == row) &&
                                 (!is_new || relative_load() >= behaviour.bad_from_load_);
        const bool is_cold = is_new && now_ < behaviour.cold_until_ms_;
        auto latency = -mean_latency_ms * std::log(1 - uniform_unit(random_));
        latency *= (is_affected ? behaviour.slowness_ : 1) * (is_cold ? 2 : 1);
        response given{is_new, row};
        given.has_failed_ = uniform_unit(random_) < behaviour.baseline_failures_ ||
                            (is_affected && uniform_unit(random_) < behaviour.failure_proportion_);
        given.is_slow_ = latency > target_latency_ms && !is_cold;
        given.is_bad_ = behaviour.is_bad_ && (given.has_failed_ || given.is_slow_);
        return {given, latency};
    }

    void send_requests()
    {
        const auto per_ms = load_.requests_per_s_ / 1'000.0;
        auto count = static_cast<int>(per_ms);
        count += uniform_unit(random_) < per_ms - count ? 1 : 0;
        for (; count > 0; --count) {
            const auto is_new = goes_to_new();
            const auto [given, latency] =
                respond(is_new, static_cast<int>(uniform_below(random_, rows)));
            responses_.emplace(now_ + 1 + static_cast<std::int64_t>(latency), given);
            if (now_ < load_.duration_ms_) {
                ++result_.requests_;
                result_.requests_to_new_ += is_new ? 1 : 0;
            }
            if (is_new) {
                result_.last_to_new_at_ms_ = now_;
            }
        }
    }

    void finish_responses()
    {
        while (!responses_.empty() && responses_.begin()->first <= now_) {
            const auto given = responses_.begin()->second;
            responses_.erase(responses_.begin());
            merge_report(measured_,
                         {{{"s", given.is_new_ ? "2" : "1", "r" + std::to_string(given.row_), 1,
                            given.has_failed_ ? 1U : 0U, given.is_slow_ ? 1U : 0U}},
                          {}});
            bad_ += given.is_bad_ && given.is_new_ ? 1 : 0;
            if (bad_ == 50 && result_.fiftieth_bad_at_ms_ < 0) {
                result_.fiftieth_bad_at_ms_ = now_;
            }
        }
    }

    [[nodiscard]] auto in_flight(bool is_new) const -> std::int64_t
    {
        const bool is_stuck = !is_new && now_ < load_.stuck_old_request_until_ms_;
        return std::ranges::count_if(
                   responses_,
                   [is_new](const auto& entry) { return entry.second.is_new_ == is_new; }) +
               (is_stuck ? 1 : 0);
    }

    void report()
    {
        if (now_ % report_period_ms == 0 && now_ < load_.reports_until_ms_) {
            for (const bool is_new : {false, true}) {
                measured_.loads_.push_back({"s", is_new ? "2" : "1",
                                            static_cast<std::uint64_t>(in_flight(is_new)),
                                            static_cast<std::uint64_t>(load_.targets_)});
            }
            reports_.emplace_back(now_ + report_delay_ms, std::exchange(measured_, {}));
        }
        while (!reports_.empty() && reports_.front().first <= now_) {
            for (auto& planner : planners_) {
                planner.on_report("a", reports_.front().second, at(now_));
            }
            reports_.pop_front();
        }
    }

    void plan()
    {
        while (changes_ < load_.leader_changes_ms_.size() &&
               now_ >= load_.leader_changes_ms_[changes_]) {
            ++changes_;
            leader_ = 1 - leader_;
            leads_from_ = now_ + election_ms;
            proposals_.clear(); // the old leader's proposals are lost
        }
        if (now_ % plan_period_ms != 0) {
            return;
        }
        for (auto& planner : planners_) {
            planner.observe(records_, at(now_));
        }
        if (now_ < leads_from_) {
            return;
        }
        const rollout_group_view group{true, std::chrono::milliseconds(now_ - leads_from_)};
        for (const auto& command : planners_.at(leader_).next(records_, group, at(now_))) {
            propose(command);
        }
    }

    const simulated_load& load_;
    random_hook random_;
    std::array<rollout_planner, 2> planners_;
    std::size_t leader_ = 0;
    std::size_t changes_ = 0;
    std::int64_t leads_from_ = -10'000;
    std::int64_t now_ = 0;
    rollout_records records_;
    std::multimap<std::int64_t, rollout_command> proposals_;
    std::multimap<std::int64_t, rollout> published_;
    std::multimap<std::int64_t, response> responses_;
    std::deque<std::pair<std::int64_t, version_report>> reports_;
    rollout routed_;
    version_report measured_;
    std::int64_t bad_ = 0;
    simulated_result result_;
};

} // namespace

auto simulate(const simulated_load& load) -> simulated_result
{
    return simulation(load).run();
}

} // namespace sycamorewinch::testing
