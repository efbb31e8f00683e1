/** \file
 * Lesson 3: accepting an edit on a control group of one. The replica is pure logic: its disk, its
 * network and its clock are given to it.
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

/** A disk in memory, and nobody to send to. */
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

    // After its election timeout it elects itself, having the only vote.
    now += std::chrono::seconds(1);
    replica.tick(now);
    lesson::shows("it leads", replica.raft_state().role() == raft_role::leader);

    // An edit names the version it starts from, and has an id.
    const auto empty = replica.state().current()->version_;
    const accept_command edit{"edit-1", "ann", empty, {{make_row("dialer")}, {}}};
    accept_outcome outcome;
    const auto keep = [&outcome](const result<accept_outcome>& answer) {
        outcome = answer.value();
    };
    replica.accept(edit, keep, now);
    lesson::shows("the edit is accepted", outcome.status_ == accept_status::accepted);

    // Its answer was lost, and it is sent again: the first outcome, and no second version.
    replica.accept(edit, keep, now);
    lesson::shows("sent again it has its first outcome",
                  outcome.status_ == accept_status::accepted && outcome.version_.number_ == 1);

    // Bob, too, started from the empty table. His edit does not fit any more.
    replica.accept({"edit-2", "bob", empty, {{make_row("mailbox")}, {}}}, keep, now);
    lesson::shows("an edit from an older version is a conflict",
                  outcome.status_ == accept_status::conflict);

    // A table with a fault is refused whole.
    auto wrong = make_row("mailbox");
    wrong.depends_on_ = {"nobody"};
    replica.accept({"edit-3", "bob", replica.state().current()->version_, {{wrong}, {}}}, keep,
                   now);
    lesson::shows("a bad table is refused", outcome.status_ == accept_status::refused);
    lesson::shows("version 1 stands", replica.state().current()->version_.number_ == 1);
    return EXIT_SUCCESS;
}
