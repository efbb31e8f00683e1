// What callers are admitted over the whole system, under virtual time, against what one limiter
// with the table's rate and burst admits of the same calls.

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <memory>

#include "policy/admission_controller.h"
#include "policy/target_choice.h"

using namespace sycamorewinch;

namespace {

/** How calls arrive. */
struct arrivals {
    double offered_ = 2;          ///< Calls offered, in parts of the limit.
    double first_node_ = 1.0 / 3; ///< The part that reaches the first node.
    bool changing_ = false;       ///< The first node's part changes every second.
};

constexpr std::size_t target_count = 3;
constexpr double per_second = 100;
constexpr duration news_delay = std::chrono::milliseconds(500); ///< Longest, of a target's leaving.

/** A system of nodes, each beside one target; one caller. */
class limited_system {
  public:
    limited_system(caller_limit limit, std::string caller)
        : limit_(limit), caller_(std::move(caller)), random_(seeded_random(11))
    {
        for (std::size_t index = 0; index < target_count; ++index) {
            gates_.push_back(std::make_unique<admission_controller>(1000));
            news_.push_back(uniform_between(random_, duration(0), news_delay));
        }
    }

    /** The last target leaves at \p when. */
    void lose_last_target(instant when) { left_at_ = when; }

    /** Returns the error, in parts, of the calls admitted from \p from to \p to. */
    auto error(instant from, instant to, const arrivals& pattern) -> double
    {
        unsigned count = 0;
        unsigned expected = 0;
        for (auto now = from; now < to; now += next_gap(pattern)) {
            const auto first = pattern.changing_ && now.time_since_epoch().count() / 1'000'000 % 2
                                   ? 1 - pattern.first_node_
                                   : pattern.first_node_;
            const auto node = uniform_unit(random_) < first ? 0 : 1 + uniform_below(random_, 2);
            count += call(node, now) ? 1U : 0U;
            expected += reference_.admit(per_second, limit_.burst_, now) ? 1U : 0U;
        }
        return std::abs(static_cast<double>(count) / expected - 1);
    }

  private:
    auto next_gap(const arrivals& pattern) -> duration
    {
        const auto seconds = -std::log(1 - uniform_unit(random_)) / (pattern.offered_ * per_second);
        return duration(static_cast<std::int64_t>(seconds * 1e6) + 1);
    }

    [[nodiscard]] auto routes_at(std::size_t node, instant now) const -> service_route
    {
        service_route route;
        const bool knows = now >= left_at_ + news_[node];
        const auto known = knows ? target_count - 1 : target_count;
        for (std::size_t index = 0; index < known; ++index) {
            target_record record{.service_ = "dialer", .target_ = std::to_string(index)};
            route.targets_.push_back({record, 1});
            route.total_weight_ += 1;
        }
        return route;
    }

    // The way of a call: chosen among the targets with a share, and once more after a refusal that
    // concerns one target only.
    auto call(std::size_t node, instant now) -> bool
    {
        const auto route = routes_at(node, now);
        auto tried = targets_without_share(route, caller_, limit_);
        for (unsigned attempt = 0; attempt < 2; ++attempt) {
            const auto* target = choose_target(route, tried, random_);
            const auto index = std::stoul(target->record_.target_);
            const bool is_gone = index == target_count - 1 && now >= left_at_;
            if (!is_gone && admits(index, now)) {
                return true;
            }
            tried.push_back(target->record_.target_);
        }
        return false;
    }

    auto admits(std::size_t index, instant now) -> bool
    {
        const auto shares = compute_limit_shares(routes_at(index, now), caller_, limit_);
        return !gates_[index]->admit(caller_, shares.at(index), now).refusal_;
    }

    caller_limit limit_;
    std::string caller_;
    rate_limiter reference_; ///< One limiter for the whole system.
    random_hook random_;
    std::vector<std::unique_ptr<admission_controller>> gates_;
    std::vector<duration> news_; ///< When each node hears of the change, after it.
    instant left_at_ = instant::max() - news_delay;
};

constexpr std::uint32_t rate = 100;

constexpr auto steady_from = instant(std::chrono::seconds(1)); ///< The burst is used up by then.
constexpr auto steady_to = instant(std::chrono::seconds(21));
constexpr auto settle_time = std::chrono::seconds(2);
constexpr double steady_bound = 0.10;
constexpr double change_bound = 0.20;

void check_pattern(const arrivals& pattern, std::uint32_t burst, const std::string& caller = "desk")
{
    limited_system system({rate, burst, 0}, caller);
    system.error(instant(), steady_from, pattern);
    const auto steady = system.error(steady_from, steady_to, pattern);
    system.lose_last_target(steady_to);
    const auto from = steady_to + settle_time;
    const auto change = system.error(steady_to, from, pattern);
    const auto after = system.error(from, from + settle_time * 5, pattern);
    BOOST_TEST_MESSAGE("offered " << pattern.offered_ << ", first node " << pattern.first_node_
                                  << (pattern.changing_ ? " changing" : "") << ", burst " << burst
                                  << ", caller " << caller << ": error steady " << steady
                                  << ", change " << change << ", after " << after);
    BOOST_TEST(steady <= steady_bound);
    BOOST_TEST(change <= change_bound);
    BOOST_TEST(after <= steady_bound);
}

} // namespace

BOOST_AUTO_TEST_CASE(even_arrivals_get_the_limit)
{
    for (const std::uint32_t burst : {1U, 3U, 5U, 8U, 20U}) {
        check_pattern({.offered_ = 2}, burst);
        check_pattern({.offered_ = 10}, burst);
    }
}

BOOST_AUTO_TEST_CASE(arrivals_at_one_node_get_the_limit)
{
    for (const std::uint32_t burst : {1U, 3U, 5U, 8U, 20U}) {
        check_pattern({.offered_ = 2, .first_node_ = 0.9}, burst);
    }
}

BOOST_AUTO_TEST_CASE(changing_arrivals_get_the_limit)
{
    check_pattern({.offered_ = 2, .first_node_ = 0.9, .changing_ = true}, 20);
}

// With a small burst one target grants for a caller; some of these callers lose just that one.
BOOST_AUTO_TEST_CASE(a_caller_whose_only_granting_target_leaves_gets_the_limit)
{
    for (const auto* caller : {"ward", "shelter", "kitchen", "night-desk", "lobby", "depot"}) {
        check_pattern({.offered_ = 2}, 1, caller);
    }
}
