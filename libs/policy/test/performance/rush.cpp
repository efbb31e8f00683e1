// Ten times the load within a second, with one target in three gone, under virtual time: what each
// caller gets, against two baselines in the same run.

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <memory>

#include "policy/admission_controller.h"
#include "policy/retry_policy.h"
#include "policy/target_choice.h"

using namespace sycamorewinch;

namespace {

/** How calls are sent and admitted. */
enum class scheme { ours, random_choice, round_robin };

constexpr std::size_t target_count = 3;
constexpr std::uint32_t slots = 10;
constexpr duration service_time = std::chrono::milliseconds(20);
constexpr duration deadline = std::chrono::milliseconds(500);
constexpr std::size_t small_callers = 8;
constexpr double small_per_second = 20;   ///< Each.
constexpr double rush_per_second = 4'000; ///< One caller's, in the rush.
constexpr auto rush_from = instant(std::chrono::seconds(2));
constexpr auto rush_to = instant(std::chrono::seconds(6));
constexpr auto run_end = instant(std::chrono::seconds(10));

/** One caller's calls in the rush and after it. */
struct caller_result {
    unsigned offered_ = 0;
    unsigned answered_ = 0;
    unsigned offered_after_ = 0;
    unsigned answered_after_ = 0;
    duration worst_{0}; ///< The longest of its answers.

    [[nodiscard]] auto success() const -> double
    {
        return static_cast<double>(answered_) / std::max(1U, offered_);
    }
};

/** A target: slots run at once; without admission the rest waits in a queue. */
class fake_target {
  public:
    auto gate() -> admission_controller& { return *gate_; }
    /** Returns when a call that arrives now is done. */
    auto queue_up(instant now) -> instant
    {
        auto& slot = *std::min_element(busy_until_.begin(), busy_until_.end());
        slot = std::max(slot, now) + service_time;
        return slot;
    }

  private:
    std::unique_ptr<admission_controller> gate_ = std::make_unique<admission_controller>(slots);
    std::vector<instant> busy_until_ = std::vector<instant>(slots);
};

/** One run of a scheme. */
class rush_run {
  public:
    explicit rush_run(scheme scheme) : scheme_(scheme), random_(seeded_random(5))
    {
        for (std::size_t index = 0; index < target_count; ++index) {
            target_record record{.service_ = "dialer", .target_ = std::to_string(index)};
            route_.targets_.push_back({record, 1, std::make_shared<target_health>()});
        }
    }

    auto run() -> std::map<std::string, caller_result>
    {
        for (std::size_t caller = 0; caller < small_callers; ++caller) {
            arrive("small-" + std::to_string(caller), instant(), run_end, small_per_second);
        }
        arrive("rush", rush_from, rush_to, rush_per_second);
        while (!events_.empty()) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return results_;
    }

  private:
    void arrive(const std::string& caller, instant from, instant to, double per_second)
    {
        auto when = from;
        while (true) {
            const auto gap = -std::log(1 - uniform_unit(random_)) / per_second;
            when += duration(static_cast<std::int64_t>(gap * 1e6) + 1);
            if (when >= to) {
                return;
            }
            events_.emplace(when, [this, caller] { call(caller); });
        }
    }

    void call(const std::string& caller)
    {
        auto& mine = results_[caller];
        if (now_ >= rush_from && now_ < rush_to) {
            ++mine.offered_;
        }
        if (now_ >= rush_to) {
            ++mine.offered_after_;
        }
        budget_.earn();
        attempt(caller, now_, 1, {});
    }

    // The last target is gone during the rush; a call to it fails at once.
    [[nodiscard]] auto is_gone(std::size_t target) const -> bool
    {
        return target == target_count - 1 && now_ >= rush_from;
    }

    auto choose(const std::vector<std::string>& tried) -> std::size_t
    {
        if (scheme_ == scheme::round_robin) {
            return next_++ % target_count;
        }
        const auto none = std::vector<std::string>();
        auto excluded = scheme_ == scheme::ours ? tried : none;
        if (scheme_ == scheme::ours) {
            const auto ejected = ejected_targets(route_, now_);
            excluded.insert(excluded.end(), ejected.begin(), ejected.end());
        }
        return std::stoul(choose_target(route_, excluded, random_)->record_.target_);
    }

    void attempt(const std::string& caller, instant started, unsigned number,
                 std::vector<std::string> tried)
    {
        const auto target = choose(tried);
        tried.push_back(std::to_string(target));
        if (is_gone(target)) {
            route_.targets_[target].health_->on_failure(now_);
            fail(caller, started, number, tried, refusal_reason::target_unreachable);
            return;
        }
        if (scheme_ != scheme::ours) {
            finish_at(targets_[target].queue_up(now_), caller, started);
            return;
        }
        auto decision = targets_[target].gate().admit(caller, {}, now_);
        if (decision.refusal_) {
            fail(caller, started, number, tried, *decision.refusal_);
            return;
        }
        const auto ticket = std::make_shared<admission_ticket>(std::move(decision.ticket_));
        events_.emplace(now_ + service_time, [this, ticket, caller, started] {
            *ticket = admission_ticket();
            answered(caller, started);
        });
    }

    void fail(const std::string& caller, instant started, unsigned number,
              const std::vector<std::string>& tried, refusal_reason reason)
    {
        constexpr unsigned retries = 2;
        const retry_context question{.reason_ = reason,
                                     .outcome_ = request_outcome::not_run,
                                     .attempts_ = number,
                                     .retries_ = retries,
                                     .time_left_ = started + deadline - now_};
        const bool again = scheme_ == scheme::ours
                               ? decide_retry(question, budget_) == retry_decision::retry
                               : scheme_ == scheme::round_robin && number <= retries;
        if (again) {
            attempt(caller, started, number + 1, tried);
        }
    }

    void finish_at(instant when, const std::string& caller, instant started)
    {
        events_.emplace(when, [this, caller, started] { answered(caller, started); });
    }

    void answered(const std::string& caller, instant started)
    {
        if (now_ - started > deadline) {
            return;
        }
        auto& mine = results_[caller];
        mine.answered_ += started >= rush_from && started < rush_to ? 1U : 0U;
        mine.answered_after_ += started >= rush_to ? 1U : 0U;
        mine.worst_ = std::max(mine.worst_, now_ - started);
    }

    scheme scheme_;
    random_hook random_;
    service_route route_;
    std::vector<fake_target> targets_ = std::vector<fake_target>(target_count);
    std::map<std::string, caller_result> results_;
    std::multimap<instant, std::function<void()>> events_;
    retry_budget budget_;
    instant now_;
    std::size_t next_ = 0;
};

/** What a scheme gave. */
struct summary {
    double least_served_ = 1; ///< Success of the small caller that was served least, in the rush.
    double recovered_ = 1;    ///< The same after the rush.
    double answered_ = 0;     ///< Of all calls in the rush.
    duration worst_{0};       ///< A small caller's longest answer.
};

auto measure(scheme scheme, const char* name) -> summary
{
    summary sum;
    unsigned offered = 0;
    unsigned answered = 0;
    for (const auto& [caller, one] : rush_run(scheme).run()) {
        offered += one.offered_;
        answered += one.answered_;
        if (caller != "rush") {
            sum.least_served_ = std::min(sum.least_served_, one.success());
            sum.recovered_ = std::min(sum.recovered_, static_cast<double>(one.answered_after_) /
                                                          std::max(1U, one.offered_after_));
            sum.worst_ = std::max(sum.worst_, one.worst_);
        }
    }
    sum.answered_ = static_cast<double>(answered) / offered;
    BOOST_TEST_MESSAGE(name << ": least served " << sum.least_served_ << ", after the rush "
                            << sum.recovered_ << ", all answered " << sum.answered_ << ", worst ms "
                            << to_milliseconds(sum.worst_));
    return sum;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_rush_does_not_crowd_out_the_other_callers)
{
    const auto ours = measure(scheme::ours, "ours");
    const auto random_choice = measure(scheme::random_choice, "random choice");
    const auto round_robin = measure(scheme::round_robin, "round robin without budgets");
    BOOST_TEST(ours.least_served_ > random_choice.least_served_);
    BOOST_TEST(ours.least_served_ > round_robin.least_served_);
    BOOST_TEST(ours.answered_ >= random_choice.answered_);
    BOOST_TEST(ours.answered_ >= round_robin.answered_);
    BOOST_TEST((ours.worst_ <= deadline));
}
