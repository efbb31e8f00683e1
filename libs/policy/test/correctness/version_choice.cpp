#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include "policy/limit_share.h"
#include "policy/target_choice.h"
#include "policy/version_choice.h"
#include "policy/version_meter.h"

using namespace sycamorewinch;

namespace {

auto make_targets(std::size_t old_count, std::size_t new_count) -> std::vector<target_record>
{
    std::vector<target_record> targets;
    for (std::size_t index = 0; index < old_count + new_count; ++index) {
        target_record one{.service_ = "ledger", .target_ = "t" + std::to_string(index)};
        one.software_version_ = index < old_count ? "1" : "2";
        targets.push_back(one);
    }
    return targets;
}

auto make_rollout(std::uint32_t share, rollout_state state = rollout_state::running) -> rollout
{
    return {"ledger", "2", 1, state, share};
}

auto make_routes(const std::vector<target_record>& targets, const rollout& rollout,
                 const row& row = {.service_ = "ledger", .path_prefix_ = "/"},
                 std::shared_ptr<const rollout_currency> currency = nullptr)
    -> std::shared_ptr<const route_table>
{
    return route_table::create(
        std::make_shared<const table>(make_table(1, {row})), targets, {},
        {std::make_shared<const rollout_set>(rollout_set{1, {rollout}}), std::move(currency)});
}

auto versions_of(const service_route& route) -> std::set<std::string>
{
    std::set<std::string> versions;
    for (const auto& target : route.targets_) {
        versions.insert(target.record_.software_version_);
    }
    return versions;
}

using names = std::set<std::string>;

auto names_of(const service_route& route) -> names
{
    names all;
    for (const auto& target : route.targets_) {
        all.insert(target.record_.target_);
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_CASE(calls_are_divided_by_the_share_of_a_running_rollout)
{
    const auto routes = make_routes(make_targets(10, 10), make_rollout(50));
    const auto& route = *routes->match("/");
    const auto random = seeded_random(1);
    constexpr int calls = 20'000;
    int new_calls = 0;
    for (int call = 0; call < calls; ++call) {
        const auto& side = choose_version(route, instant{}, random);
        const auto versions = versions_of(side);
        BOOST_REQUIRE(versions.size() == 1U); // no attempt of the call can change sides
        new_calls += versions.contains("2") ? 1 : 0;
    }
    BOOST_TEST(std::abs(new_calls - calls / 20) < calls / 200);
}

BOOST_AUTO_TEST_CASE(the_share_decides_how_many_new_targets_are_used)
{
    auto targets = make_targets(20, 20);
    std::set<std::string> previous;
    for (const auto& [share, count] : std::vector<std::pair<std::uint32_t, std::size_t>>{
             {1, 1}, {50, 1}, {51, 2}, {250, 5}, {1'000, 20}}) {
        const auto routes = make_routes(targets, make_rollout(share));
        const auto used = names_of(routes->match("/")->versions_->new_);
        BOOST_TEST(used.size() == count);
        BOOST_TEST(std::ranges::includes(used, previous)); // a larger share adds targets only
        std::ranges::reverse(targets); // the order in which a node learned of them has no influence
        const auto again = make_routes(targets, make_rollout(share));
        BOOST_CHECK(names_of(again->match("/")->versions_->new_) == used);
        previous = used;
    }
    const auto routes = make_routes(targets, make_rollout(0));
    BOOST_CHECK(versions_of(*routes->match("/")) == names{"1"});
    BOOST_TEST(!routes->match("/")->versions_);
}

// Without this, all canary calls would go to new places whenever any target joins or leaves.
BOOST_AUTO_TEST_CASE(a_target_that_leaves_replaces_only_itself_in_the_subset)
{
    auto targets = make_targets(10, 20);
    const auto before =
        names_of(make_routes(targets, make_rollout(250))->match("/")->versions_->new_);
    std::erase_if(targets, [&](const auto& target) { return target.target_ == *before.begin(); });
    const auto after =
        names_of(make_routes(targets, make_rollout(250))->match("/")->versions_->new_);
    BOOST_TEST(after.size() == before.size());
    std::vector<std::string> kept;
    std::ranges::set_intersection(before, after, std::back_inserter(kept));
    BOOST_TEST(kept.size() == before.size() - 1);
}

BOOST_AUTO_TEST_CASE(without_new_targets_that_are_up_all_calls_go_to_old_ones)
{
    auto targets = make_targets(2, 2);
    targets[2].state_ = target_state::draining;
    targets[3].state_ = target_state::gone;
    for (const auto state : {rollout_state::running, rollout_state::completed}) {
        const auto routes = make_routes(targets, make_rollout(whole_share, state));
        BOOST_CHECK(versions_of(*routes->match("/")) == names{"1"});
        BOOST_TEST(!routes->match("/")->versions_);
    }
}

// The calls of the old side must not reach a version that may be bad, even without an old target.
BOOST_AUTO_TEST_CASE(the_side_without_targets_refuses_calls)
{
    const auto routes = make_routes(make_targets(0, 3), make_rollout(50));
    const auto& versions = *routes->match("/")->versions_;
    BOOST_TEST(choose_target(versions.old_, {}, seeded_random(1)) == nullptr);
    BOOST_TEST(choose_target(versions.new_, {"t0", "t1", "t2"}, seeded_random(1)) != nullptr);
}

BOOST_AUTO_TEST_CASE(an_ended_rollout_leaves_one_version)
{
    const auto targets = make_targets(3, 3);
    const auto completed = make_routes(targets, make_rollout(1'000, rollout_state::completed));
    BOOST_CHECK(versions_of(*completed->match("/")) == names{"2"});
    const auto rolled_back = make_routes(targets, make_rollout(0, rollout_state::rolled_back));
    BOOST_CHECK(versions_of(*rolled_back->match("/")) == names{"1"});
    const auto only_bad =
        make_routes(make_targets(0, 3), make_rollout(0, rollout_state::rolled_back));
    BOOST_TEST(only_bad->match("/")->targets_.empty());
}

// A partitioned node does not hear that the version was rolled back.
BOOST_AUTO_TEST_CASE(a_stale_set_sends_no_calls_to_the_new_version)
{
    const auto currency = std::make_shared<rollout_currency>();
    const auto routes = make_routes(make_targets(3, 3), make_rollout(whole_share),
                                    {.service_ = "ledger", .path_prefix_ = "/"}, currency);
    const auto& route = *routes->match("/");
    const auto random = seeded_random(1);
    const instant proved_at{std::chrono::seconds(100)};
    BOOST_CHECK(versions_of(choose_version(route, proved_at, random)) ==
                names{"1"}); // never proved
    currency->set_proved_at(proved_at);
    BOOST_CHECK(versions_of(choose_version(route, proved_at + rollout_set_timeout, random)) ==
                names{"2"});
    BOOST_CHECK(versions_of(choose_version(route, proved_at + rollout_set_timeout + duration(1),
                                           random)) == names{"1"});
}

BOOST_AUTO_TEST_CASE(services_without_rollouts_are_routed_as_before)
{
    const auto targets = make_targets(2, 2);
    auto other = make_rollout(50);
    other.service_ = "dialer";
    const auto routes = make_routes(targets, other);
    const auto& route = *routes->match("/");
    BOOST_TEST(route.targets_.size() == 4U);
    BOOST_TEST(!route.versions_);
    BOOST_TEST(&choose_version(route, instant{}, {}) == &route); // draws no random number
}

BOOST_AUTO_TEST_CASE(a_split_destination_has_the_sides_of_its_rollout)
{
    row split{.service_ = "front", .path_prefix_ = "/"};
    split.split_ = {{"ledger", 1}};
    const auto routes = make_routes(make_targets(2, 2), make_rollout(500), split);
    const auto& destination = choose_destination(*routes->match("/"), seeded_random(1));
    BOOST_REQUIRE(destination.versions_ != nullptr);
    BOOST_CHECK(versions_of(destination.versions_->old_) == names{"1"});
    BOOST_CHECK(versions_of(destination.versions_->new_) == names{"2"});
}

// If the limit were divided evenly among all targets, a caller would lose half of it while 95 % of
// its calls go to half of the targets.
BOOST_AUTO_TEST_CASE(the_limit_of_a_caller_is_divided_by_the_share)
{
    const auto routes = make_routes(make_targets(10, 10), make_rollout(50));
    const auto& route = *routes->match("/");
    caller_limit limit;
    limit.requests_per_second_ = 1'000;
    limit.burst_ = 1'000;
    double old_rate = 0;
    double new_rate = 0;
    const auto shares = compute_limit_shares(route, "c", limit);
    for (std::size_t index = 0; index < shares.size(); ++index) {
        const bool is_new = route.targets_[index].record_.software_version_ == "2";
        (is_new ? new_rate : old_rate) += shares[index].requests_per_second_;
    }
    BOOST_TEST(old_rate == 950, boost::test_tools::tolerance(0.001));
    BOOST_TEST(new_rate == 50, boost::test_tools::tolerance(0.001));
    // Too small for all targets: both nodes of a call must agree on those without a share.
    limit.burst_ = 8;
    const auto small_shares = compute_limit_shares(route, "c", limit);
    const auto excluded = targets_without_share(route.versions_->old_, "c", limit);
    for (std::size_t index = 0; index < small_shares.size(); ++index) {
        const auto& record = route.targets_[index].record_;
        const bool is_excluded = std::ranges::find(excluded, record.target_) != excluded.end();
        BOOST_TEST(is_excluded ==
                   (record.software_version_ == "1" && !small_shares[index].admits_calls_));
    }
}

BOOST_AUTO_TEST_CASE(a_row_that_gives_new_targets_no_weight_uses_old_ones)
{
    row weighted{.service_ = "ledger", .path_prefix_ = "/"};
    weighted.weights_ = {{weight_scope::target, "t0", 1}};
    const auto routes = make_routes(make_targets(2, 2), make_rollout(500), weighted);
    BOOST_CHECK(names_of(*routes->match("/")) == names{"t0"});
    BOOST_TEST(!routes->match("/")->versions_);
}

BOOST_AUTO_TEST_CASE(a_version_meter_reports_increments_by_row)
{
    version_meter meter;
    meter.record("ledger", {});
    meter.record("ledger", {.is_failure_ = true});
    meter.record("front", {.is_slow_ = true});
    auto samples = meter.take_samples();
    std::ranges::sort(samples, {}, &version_sample::row_);
    const std::vector<version_sample> expected{{"", "", "front", 1, 0, 1},
                                               {"", "", "ledger", 2, 1, 0}};
    BOOST_CHECK(samples == expected);
    BOOST_TEST(meter.take_samples().empty());
}
