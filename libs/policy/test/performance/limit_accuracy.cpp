// Compares, in virtual time, the calls that all targets together admit for a caller with the calls
// that a single limiter with the table's rate and burst admits.

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <memory>

#include "policy/admission_controller.h"
#include "policy/target_choice.h"

using namespace sycamorewinch;

namespace {

/** How calls arrive. */
struct arrival_pattern {
    double offered_load_ = 2; ///< Calls offered, as a multiple of the limit.
    /** Fraction of the calls that arrives at the first node. */
    double first_node_fraction_ = 1.0 / 3;
    bool alternates_ = false; ///< The fraction alternates with its complement every second.
};

constexpr std::size_t target_count = 3;
constexpr double per_second = 100;
/** Upper bound on the time until a node learns that a target left. */
constexpr duration max_propagation_delay = std::chrono::milliseconds(500);

/** Nodes that each run beside one target, and one caller. */
class limited_system {
  public:
    limited_system(caller_limit limit, std::string caller)
        : limit_(limit), caller_(std::move(caller)), random_(seeded_random(11))
    {
        for (std::size_t index = 0; index < target_count; ++index) {
            controllers_.push_back(std::make_unique<admission_controller>(1000));
            propagation_delay_.push_back(
                uniform_between(random_, duration(0), max_propagation_delay));
        }
    }

    /** Removes the last target at \p when. */
    void remove_last_target(instant when) { removed_at_ = when; }

    /** Returns the relative error of the number of calls admitted between \p from and \p to. */
    auto error(instant from, instant to, const arrival_pattern& pattern) -> double
    {
        unsigned count = 0;
        unsigned expected = 0;
        for (auto now = from; now < to; now += next_gap(pattern)) {
            const auto first_node_fraction =
                pattern.alternates_ && now.time_since_epoch().count() / 1'000'000 % 2
                    ? 1 - pattern.first_node_fraction_
                    : pattern.first_node_fraction_;
            const auto node =
                uniform_unit(random_) < first_node_fraction ? 0 : 1 + uniform_below(random_, 2);
            count += call(node, now) ? 1U : 0U;
            expected += single_limiter_.admit(per_second, limit_.burst_, now) ? 1U : 0U;
        }
        return std::abs(static_cast<double>(count) / expected - 1);
    }

  private:
    auto next_gap(const arrival_pattern& pattern) -> duration
    {
        const auto seconds =
            -std::log(1 - uniform_unit(random_)) / (pattern.offered_load_ * per_second);
        return duration(static_cast<std::int64_t>(seconds * 1e6) + 1);
    }

    [[nodiscard]] auto routes_at(std::size_t node, instant now) const -> service_route
    {
        service_route route;
        const bool has_learned = now >= removed_at_ + propagation_delay_[node];
        const auto known_targets = has_learned ? target_count - 1 : target_count;
        for (std::size_t index = 0; index < known_targets; ++index) {
            target_record record{.service_ = "dialer", .target_ = std::to_string(index)};
            route.targets_.push_back({record, 1});
            route.total_weight_ += 1;
        }
        return route;
    }

    // As in a node: chooses among the targets with a share, and tries once more after a refusal
    // that concerns one target only.
    auto call(std::size_t node, instant now) -> bool
    {
        const auto route = routes_at(node, now);
        auto tried = targets_without_share(route, caller_, limit_);
        for (unsigned attempt = 0; attempt < 2; ++attempt) {
            const auto* target = choose_target(route, tried, random_);
            const auto index = std::stoul(target->record_.target_);
            const bool is_removed = index == target_count - 1 && now >= removed_at_;
            if (!is_removed && admits(index, now)) {
                return true;
            }
            tried.push_back(target->record_.target_);
        }
        return false;
    }

    auto admits(std::size_t index, instant now) -> bool
    {
        const auto shares = compute_limit_shares(routes_at(index, now), caller_, limit_);
        return !controllers_[index]->admit(caller_, shares.at(index), now).refusal_;
    }

    caller_limit limit_;
    std::string caller_;
    rate_limiter single_limiter_; ///< The expected behaviour of the whole system.
    random_hook random_;
    std::vector<std::unique_ptr<admission_controller>> controllers_;
    std::vector<duration> propagation_delay_; ///< Per node, after the target leaves.
    instant removed_at_ = instant::max() - max_propagation_delay;
};

constexpr std::uint32_t rate = 100;

/** By then the initial burst is used up. */
constexpr auto steady_from = instant(std::chrono::seconds(1));
constexpr auto steady_to = instant(std::chrono::seconds(21));
constexpr auto settle_time = std::chrono::seconds(2);
constexpr double max_steady_error = 0.10;
constexpr double max_error_during_change = 0.20;

void check_pattern(const arrival_pattern& pattern, std::uint32_t burst,
                   const std::string& caller = "desk")
{
    limited_system system({rate, burst, 0}, caller);
    system.error(instant(), steady_from, pattern);
    const auto steady = system.error(steady_from, steady_to, pattern);
    system.remove_last_target(steady_to);
    const auto from = steady_to + settle_time;
    const auto change = system.error(steady_to, from, pattern);
    const auto after = system.error(from, from + settle_time * 5, pattern);
    BOOST_TEST_MESSAGE("offered " << pattern.offered_load_ << ", first node "
                                  << pattern.first_node_fraction_
                                  << (pattern.alternates_ ? " alternating" : "") << ", burst "
                                  << burst << ", caller " << caller << ": error steady " << steady
                                  << ", change " << change << ", after " << after);
    BOOST_TEST(steady <= max_steady_error);
    BOOST_TEST(change <= max_error_during_change);
    BOOST_TEST(after <= max_steady_error);
}

} // namespace

BOOST_AUTO_TEST_CASE(uniform_arrivals_are_admitted_at_the_limit)
{
    for (const std::uint32_t burst : {1U, 3U, 5U, 8U, 20U}) {
        check_pattern({.offered_load_ = 2}, burst);
        check_pattern({.offered_load_ = 10}, burst);
    }
}

BOOST_AUTO_TEST_CASE(skewed_arrivals_are_admitted_at_the_limit)
{
    for (const std::uint32_t burst : {1U, 3U, 5U, 8U, 20U}) {
        check_pattern({.offered_load_ = 2, .first_node_fraction_ = 0.9}, burst);
    }
}

BOOST_AUTO_TEST_CASE(alternating_arrivals_are_admitted_at_the_limit)
{
    check_pattern({.offered_load_ = 2, .first_node_fraction_ = 0.9, .alternates_ = true}, 20);
}

// With a burst of 1, a single target admits the calls of a caller. For some of these callers it is
// the target that leaves.
BOOST_AUTO_TEST_CASE(caller_keeps_its_limit_when_its_only_admitting_target_leaves)
{
    for (const auto* caller : {"ward", "shelter", "kitchen", "night-desk", "lobby", "depot"}) {
        check_pattern({.offered_load_ = 2}, 1, caller);
    }
}
