#include <boost/test/unit_test.hpp>

#include "daemon/upstream_choice.h"

using namespace sycamorewinch;

namespace {

auto address(std::uint16_t port) -> peer_address
{
    return {"127.0.0.1", port};
}

auto choice_with_hubs() -> upstream_choice
{
    upstream_choice choice({address(1), address(2)}, "zone-b", seeded_random(1));
    choice.set_publishers({{"zone-a", "127.0.0.1:1"}, {"zone-b", "127.0.0.1:3"}});
    return choice;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_hub_in_the_own_zone_goes_first)
{
    const auto choice = choice_with_hubs();
    BOOST_TEST((choice.next(instant{}) == address(3)));
    BOOST_TEST(choice.is_nearer_known(address(1), instant{}));
    BOOST_TEST(!choice.is_nearer_known(address(3), instant{}));
}

BOOST_AUTO_TEST_CASE(one_that_failed_is_avoided_for_a_while)
{
    auto choice = choice_with_hubs();
    instant now{};
    choice.note_failure(address(3), now);
    BOOST_TEST((choice.next(now) != address(3)));
    BOOST_TEST(!choice.is_nearer_known(address(1), now));
    choice.note_failure(address(1), now + std::chrono::milliseconds(10));
    choice.note_failure(address(2), now + std::chrono::milliseconds(20));
    BOOST_TEST((choice.next(now + std::chrono::milliseconds(30)) == address(3)));
    now += upstream_avoided_for;
    BOOST_TEST((choice.next(now) == address(3)));
    BOOST_TEST(choice.is_nearer_known(address(1), now));
}

BOOST_AUTO_TEST_CASE(new_settings_are_dialled_beside_the_hubs)
{
    upstream_choice choice({address(1)}, "zone-b", seeded_random(1));
    choice.set_configured({address(7)});
    BOOST_TEST((choice.next(instant{}) == address(7)));
    choice.set_publishers({{"zone-a", "127.0.0.1:8"}});
    choice.note_failure(address(7), instant{});
    BOOST_TEST((choice.next(instant{}) == address(8)));
}
