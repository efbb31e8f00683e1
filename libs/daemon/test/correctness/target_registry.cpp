#include <boost/test/unit_test.hpp>

#include "daemon/target_registry.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(a_target_is_gone_when_its_lease_expires)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    target_announcement announcement{.service_ = "dialer", .target_ = "d1"};
    announcement.lease_ = std::chrono::seconds(5);
    instant now{};
    BOOST_TEST(registry.announce(announcement, now));
    now += std::chrono::seconds(4);
    BOOST_TEST(!registry.announce(announcement, now)); // a renewal changes no record
    now += std::chrono::seconds(4);
    BOOST_TEST(registry.expire(now).empty());
    now += std::chrono::seconds(1);
    const auto expired = registry.expire(now);
    BOOST_REQUIRE(expired.size() == 1);
    BOOST_TEST((expired.front().state_ == target_state::gone));
    BOOST_TEST(registry.announce(announcement, now));
    BOOST_TEST(is_newer(registry.records().front(), expired.front()));
}

// A target that restarts with another version under its name must not keep the old one.
BOOST_AUTO_TEST_CASE(a_changed_software_version_makes_a_newer_record)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    target_announcement announcement{.service_ = "dialer", .target_ = "d1"};
    announcement.lease_ = std::chrono::seconds(5);
    announcement.software_version_ = "1.0";
    registry.announce(announcement, instant{});
    const auto before = registry.records().front();
    announcement.software_version_ = "1.1";
    BOOST_TEST(registry.announce(announcement, instant{}));
    BOOST_TEST(registry.records().front().software_version_ == "1.1");
    BOOST_TEST(is_newer(registry.records().front(), before));
}

BOOST_AUTO_TEST_CASE(the_nodes_own_record_overrides_a_copy_marked_gone_elsewhere)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    target_announcement announcement{.service_ = "dialer", .target_ = "d1"};
    announcement.lease_ = std::chrono::seconds(5);
    registry.announce(announcement, instant{});
    auto record_marked_gone = registry.records().front();
    record_marked_gone.state_ = target_state::gone;
    ++record_marked_gone.sequence_;
    BOOST_TEST(is_newer(record_marked_gone, registry.records().front()));
    BOOST_REQUIRE(registry.drain_all().size() == 1);
    BOOST_TEST(is_newer(registry.records().front(), record_marked_gone));
}

BOOST_AUTO_TEST_CASE(a_record_with_a_later_incarnation_is_refuted)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    target_announcement announcement{.service_ = "dialer", .target_ = "d1"};
    announcement.lease_ = std::chrono::seconds(5);
    registry.announce(announcement, instant{});
    auto earlier_record = registry.records().front();
    earlier_record.incarnation_ = 9;
    BOOST_REQUIRE(registry.refute({earlier_record}).size() == 1);
    BOOST_TEST(is_newer(registry.records().front(), earlier_record));
    earlier_record.incarnation_ = 99;
    earlier_record.node_address_ = "127.0.0.1:2";
    BOOST_TEST(registry.refute({earlier_record}).empty()); // another node has taken the target over
}

namespace {

auto announcement_of(const std::string& target, std::uint64_t started, std::uint64_t sequence)
    -> target_announcement
{
    target_announcement announcement{.service_ = "dialer", .target_ = target};
    announcement.address_ = {"127.0.0.1", 9};
    announcement.lease_ = std::chrono::seconds(5);
    announcement.started_ = started;
    announcement.sequence_ = sequence;
    return announcement;
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

BOOST_AUTO_TEST_CASE(a_superseded_announcement_changes_nothing)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    auto delayed_announcement = announcement_of("d1", 100, 1);
    auto draining = announcement_of("d1", 100, 2);
    draining.draining_ = true;
    BOOST_TEST(registry.announce(draining, instant{}));
    BOOST_TEST(!registry.announce(delayed_announcement, instant{}));
    BOOST_TEST((state_of(registry, "d1") == target_state::draining));
    BOOST_TEST(registry.announce(announcement_of("d1", 200, 1), instant{})); // a restart
    BOOST_TEST((state_of(registry, "d1") == target_state::up));
}

BOOST_AUTO_TEST_CASE(a_later_start_at_the_same_address_replaces_the_earlier_target)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    registry.announce(announcement_of("old", 100, 9), instant{});
    BOOST_TEST(registry.announce(announcement_of("new", 200, 1), instant{}));
    BOOST_TEST((state_of(registry, "old") == target_state::gone));
    BOOST_TEST(!registry.announce(announcement_of("old", 100, 10), instant{}));
    BOOST_TEST((state_of(registry, "new") == target_state::up));
}

BOOST_AUTO_TEST_CASE(a_target_that_left_stays_gone_until_it_restarts)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    registry.announce(announcement_of("d1", 100, 1), instant{});
    BOOST_TEST(registry.withdraw("d1", {}, instant{}).size() == 1U);
    BOOST_TEST(!registry.announce(announcement_of("d1", 100, 2), instant{}));
    BOOST_TEST((state_of(registry, "d1") == target_state::gone));
    BOOST_TEST(registry.announce(announcement_of("d1", 200, 1), instant{}));
    BOOST_TEST((state_of(registry, "d1") == target_state::up));
}

// Guards against a target that leaves just after its node has started again and is taken back into
// use by an announcement that it had sent before.
BOOST_AUTO_TEST_CASE(a_late_announcement_does_not_bring_back_a_target_that_left_a_new_process)
{
    target_registry before_restart("zone-a", "127.0.0.1:1", 5);
    before_restart.announce(announcement_of("d1", 100, 8), instant{});
    const auto known_elsewhere = before_restart.records();

    // The other processes' records of the target are known when it leaves.
    target_registry synced("zone-a", "127.0.0.1:1", 6);
    const auto left = synced.withdraw("d1", known_elsewhere, instant{});
    BOOST_REQUIRE(left.size() == 1U);
    BOOST_TEST((left.front().state_ == target_state::gone));
    BOOST_TEST(has_left(left.front()));
    BOOST_TEST(is_newer(left.front(), known_elsewhere.front()));
    BOOST_TEST(!synced.announce(announcement_of("d1", 100, 7), instant{}));
    BOOST_TEST(synced.records().empty());

    // They become known afterwards.
    target_registry unsynced("zone-a", "127.0.0.1:1", 6);
    BOOST_TEST(unsynced.withdraw("d1", {}, instant{}).empty());
    BOOST_TEST(!unsynced.announce(announcement_of("d1", 100, 7), instant{}));
    const auto learnt = unsynced.learn_leaving(known_elsewhere);
    BOOST_REQUIRE(learnt.size() == 1U);
    BOOST_TEST(has_left(learnt.front()));
    BOOST_TEST(!unsynced.announce(announcement_of("d1", 100, 8), instant{}));

    for (auto* registry : {&synced, &unsynced}) { // a later start under the same name
        BOOST_TEST(registry->announce(announcement_of("d1", 200, 1), instant{}));
        BOOST_TEST((state_of(*registry, "d1") == target_state::up));
    }
}

// Guards against a late announcement of a start that no other process had heard of when it left:
// their records tell the start before.
BOOST_AUTO_TEST_CASE(a_late_announcement_of_a_start_that_only_the_previous_process_knew_is_ignored)
{
    target_registry before_restart("zone-a", "127.0.0.1:1", 5);
    before_restart.announce(announcement_of("d1", 100, 8), instant{});
    const auto known_elsewhere = before_restart.records();

    target_registry registry("zone-a", "127.0.0.1:1", 6);
    instant now{};
    BOOST_TEST(registry.withdraw("d1", known_elsewhere, now).size() == 1U);
    now += std::chrono::milliseconds(2'500);
    BOOST_TEST(!registry.announce(announcement_of("d1", 200, 5), now));
    BOOST_TEST((registry.refusal_of(announcement_of("d1", 200, 5), now) ==
                announcement_refusal::withdrawn_later));
    BOOST_TEST(registry.records().empty());
    // A start that goes on announcing itself has begun afterwards.
    now = instant{} + max_announcement_delay;
    BOOST_TEST(registry.announce(announcement_of("d1", 300, 4), now));
    BOOST_TEST((state_of(registry, "d1") == target_state::up));
}

// A record that has been marked gone must not be marked again when it comes back from the others.
BOOST_AUTO_TEST_CASE(a_withdrawal_changes_a_record_once)
{
    for (const std::uint64_t started : {0U, 100U}) {
        target_registry before_restart("zone-a", "127.0.0.1:1", 5);
        before_restart.announce(announcement_of("d1", started, 8), instant{});
        target_registry registry("zone-a", "127.0.0.1:1", 6);
        const auto left = registry.withdraw("d1", before_restart.records(), instant{});
        BOOST_REQUIRE(left.size() == 1U);
        BOOST_TEST(registry.learn_leaving(left).empty());
        BOOST_TEST(registry.withdraw("d1", left, instant{}).empty());
    }
}

// No other process may know which start of the target has left. Then the withdrawal holds for as
// long as an announcement can be late, and not for good.
BOOST_AUTO_TEST_CASE(a_withdrawal_of_an_unknown_start_ends)
{
    target_registry registry("zone-a", "127.0.0.1:1", 6);
    instant now{};
    BOOST_TEST(registry.withdraw("d1", {}, now).empty());
    now += withdrawal_retention - std::chrono::milliseconds(1);
    BOOST_TEST(!registry.announce(announcement_of("d1", 100, 7), now));
    now += std::chrono::milliseconds(1);
    BOOST_TEST(registry.announce(announcement_of("d1", 100, 90), now));
}

BOOST_AUTO_TEST_CASE(the_withdrawals_that_a_registry_remembers_are_bounded)
{
    target_registry registry("zone-a", "127.0.0.1:1", 6);
    for (std::size_t number = 0; number <= max_withdrawals; ++number) {
        BOOST_TEST(registry.withdraw("d" + std::to_string(number), {}, instant{}).empty());
    }
    BOOST_TEST(registry.announce(announcement_of("d0", 100, 1), instant{})); // the oldest
    BOOST_TEST(!registry.announce(announcement_of("d1", 100, 1), instant{}));
}

// A withdrawal says nothing about targets of the same name beside other nodes.
BOOST_AUTO_TEST_CASE(a_withdrawal_does_not_concern_records_of_other_nodes)
{
    target_registry elsewhere("zone-a", "127.0.0.1:2", 5);
    elsewhere.announce(announcement_of("d1", 100, 8), instant{});
    target_registry registry("zone-a", "127.0.0.1:1", 6);
    BOOST_TEST(registry.withdraw("d1", elsewhere.records(), instant{}).empty());
    BOOST_TEST(registry.learn_leaving(elsewhere.records()).empty());
}

// Guards against a target that had announced its end to the previous process of its node, and whose
// earlier announcement the new process gets after it has heard from the others.
BOOST_AUTO_TEST_CASE(a_late_announcement_does_not_undo_what_the_other_processes_know)
{
    target_registry before_restart("zone-a", "127.0.0.1:1", 5);
    auto draining = announcement_of("d1", 100, 8);
    draining.draining_ = true;
    before_restart.announce(draining, instant{});
    const auto known_elsewhere = before_restart.records();
    target_registry registry("zone-a", "127.0.0.1:1", 6);
    BOOST_TEST(registry.learn_leaving(known_elsewhere).empty()); // not announced here yet
    registry.announce(announcement_of("d1", 100, 7), instant{});
    BOOST_TEST(registry.learn_leaving(known_elsewhere).size() == 1U);
    BOOST_TEST((state_of(registry, "d1") == target_state::draining));
}

BOOST_AUTO_TEST_CASE(a_target_that_says_it_is_leaving_drains_until_it_restarts)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    registry.announce(announcement_of("d1", 100, 1), instant{});
    BOOST_TEST(registry.mark_leaving("dialer", "d1").size() == 1U);
    BOOST_TEST(registry.mark_leaving("dialer", "unknown").empty());
    BOOST_TEST(!registry.announce(announcement_of("d1", 100, 2), instant{}));
    BOOST_TEST((state_of(registry, "d1") == target_state::draining));
    BOOST_TEST(registry.announce(announcement_of("d1", 200, 1), instant{}));
    BOOST_TEST((state_of(registry, "d1") == target_state::up));
}

BOOST_AUTO_TEST_CASE(a_restarted_node_learns_that_its_target_is_leaving)
{
    target_registry before_restart("zone-a", "127.0.0.1:1", 5);
    before_restart.announce(announcement_of("d1", 100, 8), instant{});
    const auto left = before_restart.withdraw("d1", {}, instant{});
    target_registry registry("zone-a", "127.0.0.1:1", 6);
    registry.announce(announcement_of("d1", 100, 7), instant{}); // delayed
    BOOST_TEST((state_of(registry, "d1") == target_state::up));
    BOOST_TEST(registry.learn_leaving(left).size() == 1U);
    BOOST_TEST((state_of(registry, "d1") == target_state::draining));
    BOOST_TEST(registry.learn_leaving(left).empty());
    registry.announce(announcement_of("d1", 100, 9), instant{});
    BOOST_TEST((state_of(registry, "d1") == target_state::draining));
    registry.announce(announcement_of("d1", 200, 1), instant{});
    BOOST_TEST((state_of(registry, "d1") == target_state::up));
}

BOOST_AUTO_TEST_CASE(a_restart_is_a_change_although_the_record_is_the_same)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    registry.announce(announcement_of("d1", 100, 1), instant{});
    BOOST_TEST(registry.announce(announcement_of("d1", 200, 1), instant{}));
    BOOST_TEST(registry.targets().front().starts_ == 2U);
    BOOST_TEST(!registry.announce(announcement_of("d1", 200, 2), instant{}));
}

BOOST_AUTO_TEST_CASE(a_target_not_announced_since_the_node_restarted_is_disowned)
{
    target_registry registry_before_restart("zone-a", "127.0.0.1:1", 5);
    registry_before_restart.announce(announcement_of("old", 100, 1), instant{});
    auto kept = announcement_of("kept", 100, 1);
    kept.address_.port_ = 10;
    registry_before_restart.announce(kept, instant{});
    const auto received = registry_before_restart.records();
    target_registry registry("zone-a", "127.0.0.1:1", 6);
    kept.sequence_ = 2;
    registry.announce(kept, instant{});
    const auto gone = registry.disown(received);
    BOOST_REQUIRE(gone.size() == 1U);
    BOOST_TEST(gone.front().target_ == "old");
    BOOST_TEST((gone.front().state_ == target_state::gone));
    BOOST_TEST(std::ranges::any_of(
        received, [&gone](const auto& record) { return is_newer(gone.front(), record); }));
    const target_registry other_node("zone-a", "127.0.0.1:2", 6);
    BOOST_TEST(other_node.disown(received).empty());
}

// Another writer may announce a service that the table does not name at the address of a running
// target: it must not take the target's place.
BOOST_AUTO_TEST_CASE(an_unnamed_service_does_not_displace_a_target_of_a_named_one)
{
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    const auto is_named = [](const std::string& service) {
        return service == "dialer";
    };
    target_announcement dialer{
        .service_ = "dialer", .target_ = "d1", .address_ = {"127.0.0.1", 8080}};
    dialer.lease_ = std::chrono::seconds(5);
    dialer.started_ = 1;
    BOOST_TEST(!registry.displaces_named_target(dialer, is_named));
    registry.announce(dialer, instant{});
    auto other = dialer;
    other.service_ = "other";
    other.started_ = 2;
    BOOST_TEST(registry.displaces_named_target(other, is_named));
    BOOST_TEST(!registry.displaces_named_target(dialer, is_named));
    other.address_.port_ = 8081;
    BOOST_TEST(!registry.displaces_named_target(other, is_named));
    other.address_ = dialer.address_;
    static_cast<void>(registry.withdraw("d1", {}, instant{})); // the address is free
    BOOST_TEST(!registry.displaces_named_target(other, is_named));
}
