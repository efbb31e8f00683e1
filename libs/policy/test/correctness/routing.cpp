#include <boost/test/unit_test.hpp>

#include <map>

#include "policy/target_choice.h"

using namespace sycamorewinch;

namespace {

auto target(const std::string& name, const std::string& zone) -> target_record
{
    target_record one{.service_ = "dialer", .target_ = name};
    one.availability_zone_ = zone;
    return one;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins_at_a_path_boundary)
{
    row wide{.service_ = "a", .path_prefix_ = "/x"};
    row narrow{.service_ = "b", .path_prefix_ = "/x/y"};
    const auto routes =
        route_table::create(std::make_shared<const table>(make_table(1, {wide, narrow})), {});
    BOOST_TEST(routes->match("/x/y/1")->row_->service_ == "b");
    BOOST_TEST(routes->match("/x/yz")->row_->service_ == "a");
    BOOST_TEST(routes->match("/x?q")->row_->service_ == "a");
    BOOST_TEST(routes->match("/xy") == nullptr);
}

BOOST_AUTO_TEST_CASE(shares_follow_the_weights)
{
    row one{.service_ = "dialer", .path_prefix_ = "/dialer"};
    one.weights_ = {{weight_scope::availability_zone, "a", 3},
                    {weight_scope::availability_zone, "b", 1}};
    const auto routes = route_table::create(
        std::make_shared<const table>(make_table(1, {one})),
        {target("d1", "a"), target("d2", "a"), target("d3", "b"), target("d4", "c")});
    const auto* route = routes->match("/dialer");
    BOOST_REQUIRE(route != nullptr);
    const auto random = seeded_random(1);
    std::map<std::string, int> counts;
    constexpr int calls = 10'000;
    for (int call = 0; call < calls; ++call) {
        ++counts[choose_target(*route, {}, random)->record_.target_];
    }
    constexpr int two_points = calls / 50;
    BOOST_TEST(std::abs(counts["d1"] - calls * 3 / 8) < two_points);
    BOOST_TEST(std::abs(counts["d3"] - calls / 4) < two_points);
    BOOST_TEST(counts["d4"] == 0);
}

BOOST_AUTO_TEST_CASE(an_excluded_target_is_chosen_only_when_it_is_the_last)
{
    row one{.service_ = "dialer", .path_prefix_ = "/dialer"};
    const auto routes = route_table::create(std::make_shared<const table>(make_table(1, {one})),
                                            {target("d1", "a"), target("d2", "a")});
    const auto* route = routes->match("/dialer");
    const auto random = seeded_random(1);
    for (int call = 0; call < 100; ++call) {
        BOOST_TEST(choose_target(*route, {"d1"}, random)->record_.target_ == "d2");
    }
    BOOST_TEST(choose_target(*route, {"d1", "d2"}, random) != nullptr);
}

BOOST_AUTO_TEST_CASE(a_row_for_a_host_goes_before_one_for_any_host)
{
    row any{.service_ = "any", .path_prefix_ = "/x"};
    row own{.service_ = "own", .host_ = "h.example", .path_prefix_ = "/x"};
    const auto routes =
        route_table::create(std::make_shared<const table>(make_table(1, {any, own})), {});
    BOOST_TEST(routes->match("/x/1", "h.example")->service_ == "own");
    BOOST_TEST(routes->match("/x/1", "H.Example:8080")->service_ == "own");
    BOOST_TEST(routes->match("/x/1", "other.example")->service_ == "any");
    BOOST_TEST(routes->match("/x/1")->service_ == "any");
    BOOST_TEST(routes->match("/y", "h.example") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_split_keeps_its_shares_though_one_part_has_no_target)
{
    row split{.service_ = "r", .path_prefix_ = "/r"};
    split.split_ = {{"a", 9}, {"b", 1}};
    const auto routes =
        route_table::create(std::make_shared<const table>(make_table(1, {split})), {});
    const auto* route = routes->match("/r/1");
    const auto random = seeded_random(1);
    int to_b = 0;
    for (int call = 0; call < 1000; ++call) {
        to_b += choose_destination(*route, random).service_ == "b" ? 1 : 0;
    }
    BOOST_TEST(to_b > 70);
    BOOST_TEST(to_b < 130);
    BOOST_TEST(find_destination(*route, "a")->service_ == "a");
    BOOST_TEST(find_destination(*route, "r") == nullptr);
}

BOOST_AUTO_TEST_CASE(the_own_zone_goes_first_where_the_row_has_no_weights)
{
    row one{.service_ = "dialer", .path_prefix_ = "/dialer"};
    std::vector<target_record> targets;
    for (const std::string name : {"a1", "a2", "b1"}) {
        target_record target{.service_ = "dialer", .target_ = name};
        target.availability_zone_ = name.substr(0, 1);
        targets.push_back(target);
    }
    const auto routes =
        route_table::create(std::make_shared<const table>(make_table(1, {one})), targets);
    const auto& route = *routes->match("/dialer");
    const auto random = seeded_random(1);
    const instant now{std::chrono::seconds(1)};
    for (int call = 0; call < 100; ++call) {
        BOOST_TEST(choose_target_by_cost(route, "b", {}, now, random)->record_.target_ == "b1");
        BOOST_TEST(choose_target_by_cost(route, "b", {"b1"}, now, random)->record_.target_ != "b1");
        BOOST_TEST(choose_target_by_cost(route, "a", {"a1"}, now, random)->record_.target_ == "a2");
    }
}
