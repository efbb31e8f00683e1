#include "daemon/control_group.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "codec/text_check.h"
#include "daemon/replica_name.h"
#include "observability/log.h"

namespace sycamorewinch {

namespace {

/** Replicas that start together send their join requests within this time. */
constexpr duration initial_join_window = std::chrono::milliseconds(1'500);

void log_membership(std::string_view event, const group_membership& membership)
{
    log_event(log_level::info, event,
              {{"voters", fmt::format("{}", fmt::join(membership.voters_, " "))},
               {"learners", fmt::format("{}", fmt::join(membership.learners_, " "))}});
}

} // namespace

control_group::control_group(const daemon_settings& settings, control_group_hooks hooks,
                             instant now)
    : hooks_(std::move(hooks)), seeds_(settings.control_seeds_),
      planner_({.desired_voters_ = voters_to_tolerate(settings.tolerated_losses_)}),
      started_at_(now)
{
}

void control_group::maintain(instant now)
{
    const auto& raft = hooks_.replica_().raft_state();
    update_links();
    tick(now);
    const bool is_leader = raft.role() == raft_role::leader;
    if (!is_leader && !is_leaving_ &&
        (raft.leader().empty() || !raft.membership().is_voter(raft.options().self_))) {
        request_to_join();
    }
    if (on_left_) {
        step_leave(now);
    }
}

void control_group::tick(instant now)
{
    if (hooks_.replica_().raft_state().role() == raft_role::leader) {
        lead(now);
    }
}

void control_group::lead(instant now)
{
    const auto& raft = hooks_.replica_().raft_state();
    if (is_leaving_) {
        planner_.add_leave_request(raft.options().self_, now);
    }
    const leader_view view{raft.options().self_, raft.last_index(), &raft.peers()};
    if (const auto next = planner_.next(raft.membership(), view, now)) {
        propose(*next, now);
    }
}

void control_group::on_join(const std::string& candidate, instant now)
{
    if (!is_utf8(candidate) || !parse_peer_address(replica_address_of(candidate))) {
        log_event(log_level::warning, "bad_join_request", {{"candidate", candidate}});
        return;
    }
    const auto& raft = hooks_.replica_().raft_state();
    if (raft.role() == raft_role::leader) {
        planner_.add_join_request(candidate, now);
    }
    else if (!raft.leader().empty() && raft.leader() != candidate) {
        hooks_.send_join_(raft.leader(), candidate);
    }
}

void control_group::leave(std::function<void()> done, instant now)
{
    is_leaving_ = true;
    on_left_ = std::move(done);
    leave_by_ = now + max_leave_time;
    log_event(log_level::info, "leaving_group");
    maintain(now);
}

// A leader proposes its own removal in lead(), and hands over if nobody can take its place as a
// voter. Any other replica asks the leader, or all that may know one.
void control_group::step_leave(instant now)
{
    const auto& raft = hooks_.replica_().raft_state();
    const auto& self = raft.options().self_;
    if (now >= leave_by_) {
        finish_leave("timeout");
        return;
    }
    if (raft.role() == raft_role::leader) {
        const bool is_alone = raft.membership().voters_.size() == 1;
        if (may_end(self, now) && (is_alone || hooks_.replica_().transfer_leadership(now))) {
            finish_leave("handed_over");
        }
        return;
    }
    if (!raft.leader().empty()) {
        hooks_.send_leave_(raft.leader(), self);
        return;
    }
    for (const auto& name : known_replicas()) {
        hooks_.send_leave_(name, self);
    }
}

void control_group::finish_leave(std::string_view reason)
{
    log_event(log_level::info, "left_group", {{"reason", reason}});
    const auto done = std::exchange(on_left_, nullptr);
    done();
}

/** Returns whether the leader, which this replica is, lets the process of \p member end. */
auto control_group::may_end(const std::string& member, instant now) const -> bool
{
    const auto& raft = hooks_.replica_().raft_state();
    const bool is_committed = raft.membership_index() <= raft.commit_index();
    return is_committed && planner_.may_end(member, raft.membership(), now);
}

void control_group::on_leave(const std::string& member, instant now)
{
    const auto& raft = hooks_.replica_().raft_state();
    if (raft.role() != raft_role::leader) {
        if (!raft.leader().empty() && raft.leader() != member) {
            hooks_.send_leave_(raft.leader(), member);
        }
        return;
    }
    planner_.add_leave_request(member, now);
    if (may_end(member, now)) {
        hooks_.send_leave_granted_(member);
    }
}

void control_group::on_leave_granted()
{
    if (on_left_) {
        finish_leave("granted");
    }
}

auto control_group::not_ready_reason(instant now) const -> std::optional<error>
{
    if (planner_.is_complete(hooks_.replica_().raft_state().membership(), now) &&
        now - started_at_ >= initial_join_window) {
        return std::nullopt;
    }
    return error{error_kind::unavailable, "replicas are still joining the control group"};
}

// Raft rejects a change while the previous one is uncommitted; the next maintain() call proposes
// it again.
void control_group::propose(const group_membership& next, instant now)
{
    if (hooks_.replica_().propose_membership(next, now)) {
        log_membership("membership_proposed", next);
    }
}

void control_group::update_links()
{
    const auto& membership = hooks_.replica_().raft_state().membership();
    auto members = membership.all();
    if (members.empty()) {
        members = founder_names(seeds_);
    }
    if (std::exchange(linked_members_, members) != members) {
        hooks_.connect_to_(members);
        log_membership("membership_in_force", membership);
    }
}

auto control_group::known_replicas() const -> std::vector<std::string>
{
    auto names = linked_members_;
    for (const auto& name : founder_names(seeds_)) {
        if (std::ranges::find(names, name) == names.end()) {
            names.push_back(name);
        }
    }
    return names;
}

void control_group::request_to_join()
{
    const auto& self = hooks_.replica_().raft_state().options().self_;
    for (const auto& name : known_replicas()) {
        hooks_.send_join_(name, self);
    }
}

} // namespace sycamorewinch
