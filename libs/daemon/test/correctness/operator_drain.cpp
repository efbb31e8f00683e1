#include <boost/test/unit_test.hpp>

#include "daemon/target_registry.h"

using namespace sycamorewinch;

namespace {

auto announcement_of(const std::string& target) -> target_announcement
{
    return {.service_ = "dialer", .target_ = target, .lease_ = std::chrono::seconds(5)};
}

auto state_of(const target_registry& registry, const std::string& target) -> target_state
{
    for (const auto& record : registry.records()) {
        if (record.target_ == target) {
            return record.state_;
        }
    }
    return target_state::gone;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_operators_drain_persists_across_announcements)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    registry.announce(announcement_of("d1"), instant{});
    BOOST_TEST(registry.drain_target("dialer", "d1", true)->size() == 1);
    BOOST_TEST(!registry.announce(announcement_of("d1"), instant{}));
    BOOST_TEST((state_of(registry, "d1") == target_state::draining));
    BOOST_TEST(registry.drain_target("dialer", "d1", false)->size() == 1);
    BOOST_TEST((state_of(registry, "d1") == target_state::up));
}

BOOST_AUTO_TEST_CASE(a_drained_node_drains_targets_announced_later)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    registry.announce(announcement_of("d1"), instant{});
    BOOST_TEST(registry.drain_node(true).size() == 1);
    registry.announce(announcement_of("d2"), instant{});
    BOOST_TEST((state_of(registry, "d2") == target_state::draining));
    BOOST_TEST(registry.drain_node(false).size() == 2);
}

BOOST_AUTO_TEST_CASE(an_unknown_target_cannot_be_drained)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    const auto drained = registry.drain_target("dialer", "d9", true);
    BOOST_REQUIRE(!drained.has_value());
    BOOST_TEST((drained.error().kind_ == error_kind::not_found));
}
