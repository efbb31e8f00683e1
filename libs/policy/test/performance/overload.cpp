// Simulates, in virtual time, one caller raising the load more than tenfold within a second
// while one of three targets is lost, and compares what each caller gets with two baselines in the
// same run.

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <memory>

#include "policy/admission_controller.h"
#include "policy/retry_policy.h"
#include "policy/target_choice.h"

using namespace sycamorewinch;

namespace {

/** How targets are chosen, calls admitted and attempts retried. */
enum class strategy { full_policy, random_choice, round_robin };

constexpr std::size_t target_count = 3;
constexpr std::uint32_t slots = 10;
constexpr duration service_time = std::chrono::milliseconds(20);
constexpr duration deadline = std::chrono::milliseconds(500);
constexpr std::size_t small_callers = 8;
constexpr double small_caller_rate = 20; ///< Calls per second of each small caller.
constexpr double overload_rate = 4'000;  ///< Calls per second of the overloading caller.
constexpr auto overload_start = instant(std::chrono::seconds(2));
constexpr auto overload_end = instant(std::chrono::seconds(6));
constexpr auto run_end = instant(std::chrono::seconds(10));

/** The calls of one caller during the overload and afterwards. */
struct caller_result {
    unsigned offered_ = 0;
    unsigned answered_ = 0;
    unsigned offered_afterwards_ = 0;
    unsigned answered_afterwards_ = 0;
    duration max_latency_{0}; ///< Of all its answered calls.

    [[nodiscard]] auto success_rate() const -> double
    {
        return static_cast<double>(answered_) / std::max(1U, offered_);
    }
};

/** A target that runs `slots` requests concurrently. Without admission control, further requests
 * queue. */
class fake_target {
  public:
    auto controller() -> admission_controller& { return *controller_; }
    /** Returns the time at which a request that arrives at \p now is finished. */
    auto enqueue(instant now) -> instant
    {
        auto& slot = *std::min_element(busy_until_.begin(), busy_until_.end());
        slot = std::max(slot, now) + service_time;
        return slot;
    }

  private:
    std::unique_ptr<admission_controller> controller_ =
        std::make_unique<admission_controller>(slots);
    std::vector<instant> busy_until_ = std::vector<instant>(slots);
};

/** One run with a strategy. */
class simulation {
  public:
    explicit simulation(strategy strategy) : strategy_(strategy), random_(seeded_random(5))
    {
        for (std::size_t index = 0; index < target_count; ++index) {
            target_record record{.service_ = "dialer", .target_ = std::to_string(index)};
            route_.targets_.push_back({record, 1, std::make_shared<target_health>()});
        }
    }

    auto run() -> std::map<std::string, caller_result>
    {
        for (std::size_t caller = 0; caller < small_callers; ++caller) {
            arrive("small-" + std::to_string(caller), instant(), run_end, small_caller_rate);
        }
        arrive("rush", overload_start, overload_end, overload_rate);
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
        auto& result = results_[caller];
        if (now_ >= overload_start && now_ < overload_end) {
            ++result.offered_;
        }
        if (now_ >= overload_end) {
            ++result.offered_afterwards_;
        }
        budget_.earn();
        attempt(caller, now_, 1, {});
    }

    // The last target is lost when the overload starts; from then on a call to it fails at once.
    [[nodiscard]] auto is_removed(std::size_t target) const -> bool
    {
        return target == target_count - 1 && now_ >= overload_start;
    }

    auto choose(const std::vector<std::string>& tried) -> std::size_t
    {
        if (strategy_ == strategy::round_robin) {
            return next_++ % target_count;
        }
        const auto none = std::vector<std::string>();
        auto excluded = strategy_ == strategy::full_policy ? tried : none;
        if (strategy_ == strategy::full_policy) {
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
        if (is_removed(target)) {
            route_.targets_[target].health_->on_failure(now_);
            fail(caller, started, number, tried, refusal_reason::target_unreachable);
            return;
        }
        if (strategy_ != strategy::full_policy) {
            respond_at(targets_[target].enqueue(now_), caller, started);
            return;
        }
        auto decision = targets_[target].controller().admit(caller, {}, now_);
        if (decision.refusal_) {
            fail(caller, started, number, tried, *decision.refusal_);
            return;
        }
        const auto ticket = std::make_shared<admission_ticket>(std::move(decision.ticket_));
        events_.emplace(now_ + service_time, [this, ticket, caller, started] {
            *ticket = admission_ticket();
            record_response(caller, started);
        });
    }

    void fail(const std::string& caller, instant started, unsigned number,
              const std::vector<std::string>& tried, refusal_reason reason)
    {
        constexpr unsigned retries = 2;
        const retry_context context{.reason_ = reason,
                                    .outcome_ = request_outcome::not_run,
                                    .attempts_ = number,
                                    .retries_ = retries,
                                    .time_left_ = started + deadline - now_};
        const bool should_retry = strategy_ == strategy::full_policy
                                      ? decide_retry(context, budget_) == retry_decision::retry
                                      : strategy_ == strategy::round_robin && number <= retries;
        if (should_retry) {
            attempt(caller, started, number + 1, tried);
        }
    }

    void respond_at(instant when, const std::string& caller, instant started)
    {
        events_.emplace(when, [this, caller, started] { record_response(caller, started); });
    }

    void record_response(const std::string& caller, instant started)
    {
        if (now_ - started > deadline) {
            return;
        }
        auto& result = results_[caller];
        result.answered_ += started >= overload_start && started < overload_end ? 1U : 0U;
        result.answered_afterwards_ += started >= overload_end ? 1U : 0U;
        result.max_latency_ = std::max(result.max_latency_, now_ - started);
    }

    strategy strategy_;
    random_hook random_;
    service_route route_;
    std::vector<fake_target> targets_ = std::vector<fake_target>(target_count);
    std::map<std::string, caller_result> results_;
    std::multimap<instant, std::function<void()>> events_;
    retry_budget budget_;
    instant now_;
    std::size_t next_ = 0;
};

/** The results of a strategy. */
struct summary {
    double min_success_rate_ = 1;            ///< Lowest of the small callers, during the overload.
    double min_success_rate_afterwards_ = 1; ///< The same after the overload.
    double answered_ = 0;                    ///< Fraction of all calls during the overload.
    duration max_latency_{0};                ///< Of the small callers.
};

auto measure(strategy strategy, const char* name) -> summary
{
    summary result;
    unsigned offered = 0;
    unsigned answered = 0;
    for (const auto& [caller, one] : simulation(strategy).run()) {
        offered += one.offered_;
        answered += one.answered_;
        if (caller != "rush") {
            result.min_success_rate_ = std::min(result.min_success_rate_, one.success_rate());
            result.min_success_rate_afterwards_ = std::min(
                result.min_success_rate_afterwards_, static_cast<double>(one.answered_afterwards_) /
                                                         std::max(1U, one.offered_afterwards_));
            result.max_latency_ = std::max(result.max_latency_, one.max_latency_);
        }
    }
    result.answered_ = static_cast<double>(answered) / offered;
    BOOST_TEST_MESSAGE(name << ": lowest success rate of a small caller "
                            << result.min_success_rate_ << ", after the overload "
                            << result.min_success_rate_afterwards_ << ", all callers "
                            << result.answered_ << ", maximum latency ms "
                            << to_milliseconds(result.max_latency_));
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(overload_by_one_caller_does_not_starve_the_others)
{
    const auto full_policy = measure(strategy::full_policy, "full policy");
    const auto random_choice = measure(strategy::random_choice, "random choice");
    const auto round_robin = measure(strategy::round_robin, "round robin without budgets");
    BOOST_TEST(full_policy.min_success_rate_ > random_choice.min_success_rate_);
    BOOST_TEST(full_policy.min_success_rate_ > round_robin.min_success_rate_);
    BOOST_TEST(full_policy.answered_ >= random_choice.answered_);
    BOOST_TEST(full_policy.answered_ >= round_robin.answered_);
    BOOST_TEST((full_policy.max_latency_ <= deadline));
}
