#include <boost/test/unit_test.hpp>

#include "daemon/upstream_selector.h"

using namespace sycamorewinch;

namespace {

auto address(std::uint16_t port) -> peer_address
{
    return {"127.0.0.1", port};
}

auto selector_with_publishers() -> upstream_selector
{
    upstream_selector selector({address(1), address(2)}, "zone-b", seeded_random(1));
    selector.set_publishers({{"zone-a", "127.0.0.1:1"}, {"zone-b", "127.0.0.1:3"}});
    return selector;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_publisher_in_the_same_zone_is_preferred)
{
    const auto selector = selector_with_publishers();
    BOOST_TEST((selector.next(instant{}) == address(3)));
    BOOST_TEST(selector.has_nearer_upstream(address(1), instant{}));
    BOOST_TEST(!selector.has_nearer_upstream(address(3), instant{}));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_failed_is_avoided_during_its_cooldown)
{
    auto selector = selector_with_publishers();
    instant now{};
    selector.record_failure(address(3), now);
    BOOST_TEST((selector.next(now) != address(3)));
    BOOST_TEST(!selector.has_nearer_upstream(address(1), now));
    selector.record_failure(address(1), now + std::chrono::milliseconds(10));
    selector.record_failure(address(2), now + std::chrono::milliseconds(20));
    BOOST_TEST((selector.next(now + std::chrono::milliseconds(30)) == address(3)));
    now += upstream_failure_cooldown;
    BOOST_TEST((selector.next(now) == address(3)));
    BOOST_TEST(selector.has_nearer_upstream(address(1), now));
}

BOOST_AUTO_TEST_CASE(newly_configured_upstreams_are_selected_besides_the_publishers)
{
    upstream_selector selector({address(1)}, "zone-b", seeded_random(1));
    selector.set_configured({address(7)});
    BOOST_TEST((selector.next(instant{}) == address(7)));
    selector.set_publishers({{"zone-a", "127.0.0.1:8"}});
    selector.record_failure(address(7), instant{});
    BOOST_TEST((selector.next(instant{}) == address(8)));
}
