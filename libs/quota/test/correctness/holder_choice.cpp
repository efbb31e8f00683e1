#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

#include "quota/holder_choice.h"

using namespace sycamorewinch;

namespace {

auto make_addresses(std::size_t count) -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (std::size_t number = 0; number < count; ++number) {
        addresses.push_back("10.0.0." + std::to_string(number) + ":7000");
    }
    return addresses;
}

} // namespace

BOOST_AUTO_TEST_CASE(order_does_not_depend_on_the_order_of_the_nodes)
{
    auto addresses = make_addresses(65);
    const auto holders = choose_holders("acme", addresses);
    BOOST_TEST(holders.size() == holder_candidates);
    std::ranges::reverse(addresses);
    BOOST_TEST((choose_holders("acme", addresses) == holders));
}

// Otherwise the loss of one node would empty the buckets of all organisations.
BOOST_AUTO_TEST_CASE(loss_of_a_node_moves_its_organisations_to_their_second_nodes)
{
    const auto addresses = make_addresses(65);
    auto fewer = addresses;
    fewer.erase(fewer.begin() + 17);
    for (int number = 0; number < 1'000; ++number) {
        const auto name = "organisation-" + std::to_string(number);
        const auto before = choose_holders(name, addresses);
        const auto after = choose_holders(name, fewer).front();
        BOOST_TEST(after == (before.front() == addresses[17] ? before[1] : before.front()));
    }
}

BOOST_AUTO_TEST_CASE(organisations_are_spread_over_the_nodes)
{
    const auto addresses = make_addresses(65);
    std::map<std::string, int> organisations;
    for (int number = 0; number < 6'500; ++number) {
        ++organisations[choose_holders("organisation-" + std::to_string(number), addresses, 1)[0]];
    }
    BOOST_TEST(organisations.size() == 65U);
    for (const auto& [address, count] : organisations) {
        BOOST_TEST(count < 160);
    }
}

BOOST_AUTO_TEST_CASE(no_nodes_give_no_holder)
{
    BOOST_TEST(choose_holders("acme", {}).empty());
    BOOST_TEST(!is_holder("acme", {"10.0.0.1:7000", {}}));
}
