#include <boost/test/unit_test.hpp>

#include "control/control_replica.h"

using namespace sycamorewinch;

namespace {

auto make_row(const std::string& service, std::uint32_t retries) -> row
{
    row one{.service_ = service, .path_prefix_ = "/" + service};
    one.timeout_ = std::chrono::milliseconds(500);
    one.retries_ = retries;
    return one;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_resent_edit_gets_its_first_outcome)
{
    replicated_state state;
    const accept_command edit{"edit-1", "ann", {}, {{make_row("dialer", 1)}, {}}};
    accept_command first = edit;
    first.base_ = state.current()->version_;
    const auto outcome = state.apply(first);
    BOOST_TEST((outcome.status_ == accept_status::accepted));
    BOOST_TEST((state.apply(first) == outcome));
    BOOST_TEST(state.current()->version_.number_ == 1);
}

BOOST_AUTO_TEST_CASE(a_conflicting_edit_gets_the_differing_cells)
{
    replicated_state state;
    const auto base = state.current()->version_;
    state.apply({"edit-1", "ann", base, {{make_row("dialer", 1)}, {}}});
    const auto lost = state.apply({"edit-2", "bob", base, {{make_row("dialer", 2)}, {}}});
    BOOST_TEST((lost.status_ == accept_status::conflict));
    BOOST_REQUIRE(lost.conflicts_.size() == 1);
    BOOST_TEST(
        (lost.conflicts_.front() == cell_conflict{"dialer", table_column::retries, "1", "2"}));
    BOOST_TEST((decode_accept_outcome(encode_outcome(lost)).value() == lost));
}

BOOST_AUTO_TEST_CASE(a_single_replica_accepts_and_proves)
{
    raft_options options{.self_ = "a", .voters_ = {"a"}};
    options.random_ = seeded_random(1);
    std::vector<log_entry> disk;
    control_hooks hooks;
    hooks.save_vote_ = [](const auto&) {
        return result<void>();
    };
    hooks.truncate_after_ = [](auto) {
        return result<void>();
    };
    hooks.append_ = [&disk](const auto& entries) {
        disk.insert(disk.end(), entries.begin(), entries.end());
        return result<void>();
    };
    hooks.send_ = [](const auto&) {
    };
    hooks.on_table_ = [](const auto&) {
    };
    hooks.on_disk_failure_ = [](const auto&) {
    };
    instant now{};
    auto replica = control_replica::create(options, {}, hooks, now).value();
    now += std::chrono::seconds(1);
    replica.tick(now);
    accept_command edit{
        "edit-1", "ann", replica.state().current()->version_, {{make_row("dialer", 1)}, {}}};
    bool accepted = false;
    replica.accept(
        edit,
        [&](const auto& outcome) {
            accepted = outcome && outcome->status_ == accept_status::accepted;
        },
        now);
    BOOST_TEST(accepted);
    std::uint64_t proved = 0;
    replica.prove_current([&](const auto& version) { proved = version.value_or(0); }, now);
    BOOST_TEST(proved == 1);

    auto restarted = control_replica::create(options, {{}, {}, disk}, hooks, now).value();
    now += std::chrono::seconds(1);
    restarted.tick(now);
    BOOST_TEST(restarted.state().current()->version_.number_ == 1);
}
