#include <boost/test/unit_test.hpp>

#include "control/control_replica.h"

using namespace sycamorewinch;

namespace {

auto make_row(const std::string& service, std::uint32_t retries) -> row
{
    row new_row{.service_ = service, .path_prefix_ = "/" + service};
    new_row.timeout_ = std::chrono::milliseconds(500);
    new_row.retries_ = retries;
    return new_row;
}

/** Returns hooks that store the log in \p stored_log and record the published versions in \p
 * published. */
auto make_hooks(std::vector<log_entry>& stored_log, std::vector<std::uint64_t>& published)
    -> control_hooks
{
    control_hooks hooks;
    hooks.save_vote_ = [](const auto&) {
        return result<void>();
    };
    hooks.truncate_after_ = [](auto) {
        return result<void>();
    };
    hooks.append_ = [&stored_log](const auto& entries) {
        stored_log.insert(stored_log.end(), entries.begin(), entries.end());
        return result<void>();
    };
    hooks.send_ = [](const auto&) {
    };
    hooks.on_table_ = [&published](const auto& table) {
        published.push_back(table->version_.number_);
    };
    hooks.on_disk_failure_ = [](const auto&) {
    };
    return hooks;
}

auto single_replica_options() -> raft_options
{
    raft_options options{.self_ = "a", .voters_ = {"a"}};
    options.random_ = seeded_random(1);
    return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_resent_edit_returns_the_original_outcome)
{
    replicated_state state;
    const accept_command edit{"edit-1", "ann", {}, {{make_row("dialer", 1)}, {}}};
    accept_command edit_on_base = edit;
    edit_on_base.base_ = state.current()->version_;
    const auto outcome = state.apply(edit_on_base);
    BOOST_TEST((outcome.status_ == accept_status::accepted));
    BOOST_TEST((state.apply(edit_on_base) == outcome));
    BOOST_TEST(state.current()->version_.number_ == 1);
}

BOOST_AUTO_TEST_CASE(a_conflicting_edit_returns_the_differing_cells)
{
    replicated_state state;
    const auto base = state.current()->version_;
    state.apply({"edit-1", "ann", base, {{make_row("dialer", 1)}, {}}});
    const auto conflicting = state.apply({"edit-2", "bob", base, {{make_row("dialer", 2)}, {}}});
    BOOST_TEST((conflicting.status_ == accept_status::conflict));
    BOOST_REQUIRE(conflicting.conflicts_.size() == 1);
    BOOST_TEST((conflicting.conflicts_.front() ==
                cell_conflict{"dialer", table_column::retries, "1", "2"}));
    BOOST_TEST((decode_accept_outcome(encode_outcome(conflicting)).value() == conflicting));
}

BOOST_AUTO_TEST_CASE(a_single_replica_accepts_an_edit_proves_it_current_and_restores_it)
{
    const auto options = single_replica_options();
    std::vector<log_entry> stored_log;
    std::vector<std::uint64_t> published;
    const auto hooks = make_hooks(stored_log, published);
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
    std::uint64_t proved_version = 0;
    replica.prove_current([&](const auto& version) { proved_version = version.value_or(0); }, now);
    BOOST_TEST(proved_version == 1);

    auto restarted = control_replica::create(options, {{}, {}, stored_log}, hooks, now).value();
    now += std::chrono::seconds(1);
    restarted.tick(now);
    BOOST_TEST(restarted.state().current()->version_.number_ == 1);
}

// Publishing each version of a long log in turn would keep a restarted replica from answering its
// leader for longer than a lease.
BOOST_AUTO_TEST_CASE(a_restarted_replica_publishes_only_the_last_version_of_its_log)
{
    constexpr std::uint64_t edits = 50;
    const auto options = single_replica_options();
    std::vector<log_entry> stored_log;
    std::vector<std::uint64_t> published;
    const auto hooks = make_hooks(stored_log, published);
    instant now{};
    auto replica = control_replica::create(options, {}, hooks, now).value();
    now += std::chrono::seconds(1);
    replica.tick(now);
    for (std::uint32_t number = 1; number <= edits; ++number) {
        replica.accept(
            {"edit-" + std::to_string(number),
             "ann",
             replica.state().current()->version_,
             {{make_row("dialer", number % 2)}, {}}},
            [](const auto&) {}, now);
    }
    BOOST_TEST(published.size() == edits);

    published.clear();
    auto restarted = control_replica::create(options, {{}, {}, stored_log}, hooks, now).value();
    now += std::chrono::seconds(1);
    restarted.tick(now);
    BOOST_TEST(published == std::vector<std::uint64_t>{edits}, boost::test_tools::per_element());
}
