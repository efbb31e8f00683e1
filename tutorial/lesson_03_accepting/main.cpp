/** \file
 * Lesson 3: accepting an edit in a control group with one replica. The replica does no I/O itself:
 * disk and network are hooks, and the current time is an argument.
 */
#include "../lesson.h"
#include "control/control_replica.h"

using namespace sycamorewinch;

namespace {

auto make_row(const std::string& service) -> row
{
    row one{.service_ = service, .path_prefix_ = "/" + service};
    one.timeout_ = std::chrono::milliseconds(500);
    return one;
}

/** Returns hooks that append to \p disk in memory and send no messages. */
auto make_hooks(std::vector<log_entry>& disk) -> control_hooks
{
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
    hooks.on_table_ = [](const table_pointer& table) {
        std::cout << "     accepted: version " << to_text(table->version_) << '\n';
    };
    hooks.on_disk_failure_ = [](const auto&) {
    };
    return hooks;
}

} // namespace

auto main() -> int
{
    std::vector<log_entry> disk;
    raft_options options{.self_ = "a", .voters_ = {"a"}};
    options.random_ = seeded_random(1);
    instant now{};
    auto replica = control_replica::create(options, {}, make_hooks(disk), now).value();

    // After its election timeout the only voter elects itself.
    now += std::chrono::seconds(1);
    replica.tick(now);
    lesson::check("the replica is the leader", replica.raft_state().role() == raft_role::leader);

    // An edit has an id and names the version that it is based on.
    const auto empty = replica.state().current()->version_;
    const accept_command edit{"edit-1", "ann", empty, {{make_row("dialer")}, {}}};
    accept_outcome outcome;
    const auto record_outcome = [&outcome](const result<accept_outcome>& answer) {
        outcome = answer.value();
    };
    replica.accept(edit, record_outcome, now);
    lesson::check("the edit is accepted", outcome.status_ == accept_status::accepted);

    // If the answer is lost, the client sends the edit again. It gets the first outcome, and no
    // second version is made.
    replica.accept(edit, record_outcome, now);
    lesson::check("the repeated edit has its first outcome",
                  outcome.status_ == accept_status::accepted && outcome.version_.number_ == 1);

    // Bob also edited the empty table, which is no longer the current version.
    replica.accept({"edit-2", "bob", empty, {{make_row("mailbox")}, {}}}, record_outcome, now);
    lesson::check("an edit of an older version is a conflict",
                  outcome.status_ == accept_status::conflict);

    // A table with an error is refused as a whole.
    auto wrong = make_row("mailbox");
    wrong.depends_on_ = {"nobody"};
    replica.accept({"edit-3", "bob", replica.state().current()->version_, {{wrong}, {}}},
                   record_outcome, now);
    lesson::check("an invalid table is refused", outcome.status_ == accept_status::refused);
    lesson::check("version 1 is still current", replica.state().current()->version_.number_ == 1);
    return EXIT_SUCCESS;
}
