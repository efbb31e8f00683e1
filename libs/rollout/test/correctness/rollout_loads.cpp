// Plays whole roll-outs under virtual time and checks the bounds of the requirements: a bad version
// gets a tenth of the requests and 50 at most, and none 5 s after its 50th bad response; a good one
// is completed within the duration.

#include <boost/test/unit_test.hpp>

#include "../simulated_service.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

namespace {

constexpr std::array rates{400, 1'500, 100};
constexpr std::uint64_t seeds = 10;

void play_all(simulated_load load, const std::function<void(const simulated_load&)>& play)
{
    for (const auto rate : rates) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            load.requests_per_s_ = rate;
            load.seed_ = seed;
            BOOST_TEST_CONTEXT("rate " << rate << " seed " << seed)
            {
                play(load);
            }
        }
    }
}

void check_bad(const simulated_load& load)
{
    play_all(load, [](const simulated_load& played) {
        const auto result = simulate(played);
        BOOST_TEST(static_cast<int>(result.state_) == static_cast<int>(rollout_state::rolled_back),
                   result.reason_);
        BOOST_TEST(result.ended_at_ms_ <= played.duration_ms_ + 500);
        BOOST_TEST(result.requests_to_new_ <= result.requests_ / 10 + 50,
                   result.requests_to_new_ << " of " << result.requests_ << " requests");
        if (result.fiftieth_bad_at_ms_ >= 0) {
            BOOST_TEST(result.last_to_new_at_ms_ <= result.fiftieth_bad_at_ms_ + 5'000);
        }
    });
}

void check_good(const simulated_load& load)
{
    play_all(load, [](const simulated_load& played) {
        const auto result = simulate(played);
        BOOST_TEST(static_cast<int>(result.state_) == static_cast<int>(rollout_state::completed),
                   result.reason_);
        BOOST_TEST(result.ended_at_ms_ <= played.duration_ms_);
        BOOST_TEST(result.old_in_flight_at_end_ == 0);
        BOOST_TEST((result.shares_ == std::vector<std::uint32_t>{50, 250, 500, 1'000}));
    });
}

auto failing(double proportion) -> simulated_load
{
    simulated_load load;
    load.new_.is_bad_ = true;
    load.new_.failure_proportion_ = proportion;
    return load;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_good_version_is_completed_in_time)
{
    check_good({});
}

BOOST_AUTO_TEST_CASE(a_version_that_fails_0_39_of_its_requests_is_rolled_back)
{
    check_bad(failing(0.39));
}

BOOST_AUTO_TEST_CASE(a_version_that_fails_half_of_its_requests_is_rolled_back)
{
    check_bad(failing(0.5));
}

BOOST_AUTO_TEST_CASE(a_version_that_is_bad_from_3_s_is_rolled_back)
{
    auto load = failing(0.39);
    load.new_.changes_at_ms_ = 3'000;
    check_bad(load);
}

// Guards against growth before targets that were started late have shown a late fault.
BOOST_AUTO_TEST_CASE(a_version_that_is_bad_3_s_after_a_late_start_is_rolled_back)
{
    auto load = failing(0.39);
    load.new_targets_from_ms_ = 5'000;
    load.new_.changes_at_ms_ = 8'000;
    check_bad(load);
}

BOOST_AUTO_TEST_CASE(a_version_that_is_bad_on_one_row_is_rolled_back)
{
    auto load = failing(0.39);
    load.new_.bad_row_ = 2;
    check_bad(load);
}

// One of four rows at 100 requests/s gives the judge one response of the bad row in 0.8 s at first.
BOOST_AUTO_TEST_CASE(a_version_that_is_bad_on_one_row_at_a_low_rate_stays_within_the_bound)
{
    constexpr std::uint64_t runs = 150;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        auto load = failing(0.39);
        load.new_.bad_row_ = 2;
        load.requests_per_s_ = 100;
        load.seed_ = seed;
        const auto result = simulate(load);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(static_cast<int>(result.state_) ==
                       static_cast<int>(rollout_state::rolled_back));
            BOOST_TEST(result.requests_to_new_ <= result.requests_ / 10 + 50);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_is_bad_at_the_load_of_an_old_target_is_rolled_back)
{
    auto load = failing(0.39);
    load.new_.bad_from_load_ = 0.8; // 3 of 50 targets carry 5 %: load 0.83
    check_bad(load);
    load.new_.bad_from_load_ = 0.9; // shown only from 25 % on
    check_bad(load);
}

BOOST_AUTO_TEST_CASE(a_version_that_is_8_times_slower_is_rolled_back)
{
    simulated_load load;
    load.new_.is_bad_ = true;
    load.new_.slowness_ = 8;
    check_bad(load);
    load.new_.changes_at_ms_ = 3'000;
    check_bad(load);
}

BOOST_AUTO_TEST_CASE(a_good_version_on_slow_or_cold_targets_is_completed)
{
    simulated_load slow;
    slow.new_.slowness_ = 3;
    check_good(slow);
    simulated_load cold;
    cold.new_.cold_until_ms_ = 3'000;
    check_good(cold);
}

BOOST_AUTO_TEST_CASE(failures_of_both_versions_do_not_decide)
{
    simulated_load load;
    load.old_.baseline_failures_ = 0.1;
    load.new_.baseline_failures_ = 0.1;
    check_good(load);
}

BOOST_AUTO_TEST_CASE(a_bad_version_is_found_although_the_old_one_fails_too)
{
    auto load = failing(0.39);
    load.old_.baseline_failures_ = 0.1;
    load.new_.baseline_failures_ = 0.1;
    check_bad(load);
}

BOOST_AUTO_TEST_CASE(without_evidence_the_share_does_not_grow_and_the_version_is_rolled_back)
{
    simulated_load load;
    load.new_targets_from_ms_ = 1'000'000;
    const auto result = simulate(load);
    BOOST_TEST(static_cast<int>(result.state_) == static_cast<int>(rollout_state::rolled_back));
    BOOST_TEST(result.ended_at_ms_ >= load.duration_ms_ * 85 / 100);
    BOOST_TEST(result.ended_at_ms_ <= load.duration_ms_);
    BOOST_TEST((result.shares_ == std::vector<std::uint32_t>{50}));
}

BOOST_AUTO_TEST_CASE(without_reports_the_share_does_not_grow_and_the_version_is_rolled_back)
{
    for (const std::int64_t reports_until_ms : {0, 7'000}) {
        simulated_load load;
        load.reports_until_ms_ = reports_until_ms;
        const auto result = simulate(load);
        BOOST_TEST(static_cast<int>(result.state_) == static_cast<int>(rollout_state::rolled_back));
        BOOST_TEST(result.ended_at_ms_ <= load.duration_ms_ + 500);
        BOOST_TEST((result.shares_ == std::vector<std::uint32_t>{50}));
    }
}

BOOST_AUTO_TEST_CASE(a_version_is_not_completed_while_an_old_target_runs_a_request)
{
    simulated_load load;
    load.stuck_old_request_until_ms_ = 14'000;
    const auto result = simulate(load);
    BOOST_TEST(static_cast<int>(result.state_) == static_cast<int>(rollout_state::completed));
    BOOST_TEST(result.ended_at_ms_ >= 14'000);
    BOOST_TEST(result.old_in_flight_at_end_ == 0);
}

// Guards against a new leader that starts the roll-out's time or its evidence anew, and against
// commands of a superseded step.
BOOST_AUTO_TEST_CASE(a_change_of_leader_at_any_step_changes_no_decision)
{
    for (const std::int64_t change_ms :
         {50, 500, 2'000, 4'000, 7'900, 8'050, 8'500, 9'050, 9'500, 10'050, 11'000}) {
        simulated_load good;
        good.leader_changes_ms_ = {change_ms};
        simulated_load bad = failing(0.39);
        bad.leader_changes_ms_ = {change_ms};
        bad.new_.changes_at_ms_ = 3'000;
        BOOST_TEST_CONTEXT("change at " << change_ms)
        {
            check_good(good);
            check_bad(bad);
        }
    }
}

BOOST_AUTO_TEST_CASE(several_changes_of_leader_change_no_decision)
{
    simulated_load good;
    good.leader_changes_ms_ = {1'000, 5'000, 7'500};
    check_good(good);
    simulated_load bad = failing(0.39);
    bad.leader_changes_ms_ = {1'000, 5'000, 7'500};
    check_bad(bad);
}

// The probability of a false alarm is limited to 1 in 1,000; 3 in 1,000 would pass by chance.
BOOST_AUTO_TEST_CASE(good_versions_are_rarely_rolled_back)
{
    int rolled_back = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        simulated_load load;
        load.requests_per_s_ = 200;
        load.seed_ = seed;
        load.old_.baseline_failures_ = 0.2;
        load.new_.baseline_failures_ = 0.2;
        rolled_back += simulate(load).state_ == rollout_state::rolled_back ? 1 : 0;
    }
    BOOST_TEST(rolled_back <= 1);
}
