#include <boost/test/unit_test.hpp>

#include <numeric>

#include "policy/limit_share.h"

using namespace sycamorewinch;

namespace {

auto route_of(const std::vector<double>& weights) -> service_route
{
    service_route route;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        target_record record{.service_ = "dialer", .target_ = "d" + std::to_string(index)};
        route.targets_.push_back({record, weights[index]});
        route.total_weight_ += weights[index];
    }
    return route;
}

} // namespace

BOOST_AUTO_TEST_CASE(shares_of_a_concurrency_add_up_to_it_for_every_caller)
{
    for (std::uint32_t concurrency = 1; concurrency <= 20; ++concurrency) {
        for (int caller = 0; caller < 50; ++caller) {
            const auto shares = compute_limit_shares(route_of({1, 1, 1, 2.5, 0.5}),
                                                     std::to_string(caller), {0, 0, concurrency});
            std::uint32_t sum = 0;
            for (const auto& share : shares) {
                sum += share.grants_ ? share.concurrency_ : 0;
            }
            BOOST_TEST(sum == concurrency);
        }
    }
}

BOOST_AUTO_TEST_CASE(two_over_three_leaves_one_target_out_and_callers_differ_in_which)
{
    std::vector<int> left_out(3);
    for (int caller = 0; caller < 300; ++caller) {
        const auto shares =
            compute_limit_shares(route_of({1, 1, 1}), std::to_string(caller), {0, 0, 2});
        for (std::size_t index = 0; index < 3; ++index) {
            left_out[index] += shares[index].grants_ ? 0 : 1;
        }
    }
    BOOST_TEST(std::accumulate(left_out.begin(), left_out.end(), 0) == 300);
    BOOST_TEST(*std::min_element(left_out.begin(), left_out.end()) > 0);
}

BOOST_AUTO_TEST_CASE(bursts_and_rates_add_up)
{
    for (std::uint32_t burst = 1; burst <= 12; ++burst) {
        const auto shares = compute_limit_shares(route_of({1, 2, 3}), "desk", {60, burst, 0});
        double total_burst = 0;
        double total_rate = 0;
        for (const auto& share : shares) {
            total_burst += share.grants_ ? share.burst_ : 0;
            total_rate += share.grants_ ? share.requests_per_second_ : 0;
        }
        BOOST_TEST(total_burst == burst, boost::test_tools::tolerance(1e-9));
        BOOST_TEST(total_rate == 60, boost::test_tools::tolerance(1e-9));
    }
}
