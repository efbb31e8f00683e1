#include <boost/test/unit_test.hpp>

#include <map>

#include "policy/route_table.h"

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
