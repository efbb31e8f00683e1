#include "daemon/control_group.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "observability/log.h"
#include "storage/replica_identity.h"

namespace sycamorewinch {

namespace {

/** Replicas that start together have asked to join by then. */
constexpr duration joining_time = std::chrono::milliseconds(1'500);
/** The term of the entry that founders store before any election. */
constexpr std::uint64_t first_term = 1;

auto names_of(const std::vector<peer_address>& seeds) -> std::vector<std::string>
{
    std::vector<std::string> names;
    names.reserve(seeds.size());
    for (const auto& seed : seeds) {
        names.push_back(to_text(seed));
    }
    std::ranges::sort(names);
    return names;
}

auto store_first_entry(const group_membership& founders, const file_system& files,
                       replica_store& store) -> result<void>
{
    const log_entry first{1, first_term, entry_kind::membership, encode_membership(founders)};
    auto stored = store.append({first}).and_then([&store] {
        return store.save_vote({first_term, {}, true});
    });
    if (!stored) {
        return stored;
    }
    auto opened = replica_store::open(files);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    store = std::move(*opened);
    return {};
}

void log_membership(std::string_view event, const group_membership& membership)
{
    log_event(log_level::info, event,
              {{"voters", fmt::format("{}", fmt::join(membership.voters_, " "))},
               {"learners", fmt::format("{}", fmt::join(membership.learners_, " "))}});
}

} // namespace

auto open_replica_name(const daemon_settings& settings, const file_system& files,
                       replica_store& store, const random_hook& random) -> result<std::string>
{
    const auto address = to_text(settings.listen_peers_);
    const group_membership founders{names_of(settings.control_seeds_), {}};
    const bool is_founder = settings.founds_group_ && founders.is_voter(address);
    const auto identity = open_identity(files, address, is_founder, random);
    if (!identity) {
        return tl::unexpected(identity.error());
    }
    if (identity->is_new_ && is_founder) {
        if (auto stored = store_first_entry(founders, files, store); !stored) {
            return tl::unexpected(stored.error());
        }
    }
    log_event(log_level::info, "replica_named",
              {{"name", identity->name_},
               {"disk", identity->is_new_ ? "empty" : "kept"},
               {"founder", is_founder}});
    return identity->name_;
}

control_group::control_group(const daemon_settings& settings, replica_links& links,
                             std::function<control_replica&()> replica)
    : links_(links), replica_(std::move(replica)), seeds_(settings.control_seeds_),
      planner_({.desired_voters_ = voters_to_tolerate(settings.tolerated_losses_)})
{
}

void control_group::keep(instant now)
{
    const auto& raft = replica_().raft_state();
    follow_membership();
    if (raft.role() == raft_role::leader) {
        const leader_view view{raft.options().self_, raft.last_index(), &raft.peers()};
        if (const auto next = planner_.next(raft.membership(), view, now)) {
            propose(*next, now);
        }
    }
    else if (raft.leader().empty() || !raft.membership().is_voter(raft.options().self_)) {
        ask_to_join();
    }
}

void control_group::on_join(const std::string& candidate, instant now)
{
    const auto& raft = replica_().raft_state();
    if (raft.role() == raft_role::leader) {
        planner_.add_join_request(candidate, now);
    }
    else if (!raft.leader().empty() && raft.leader() != candidate) {
        links_.send_join(raft.leader(), candidate);
    }
}

auto control_group::not_ready_reason(instant now) const -> std::optional<error>
{
    if (planner_.is_complete(replica_().raft_state().membership(), now) &&
        now - started_ >= joining_time) {
        return std::nullopt;
    }
    return error{error_kind::unavailable, "replicas are still joining the control group"};
}

// One that cannot be proposed yet, since the change before is not committed, comes again.
void control_group::propose(const group_membership& next, instant now)
{
    if (replica_().propose_membership(next, now)) {
        log_membership("membership_proposed", next);
    }
}

void control_group::follow_membership()
{
    const auto& membership = replica_().raft_state().membership();
    auto members = membership.all();
    if (members.empty()) {
        members = names_of(seeds_);
    }
    if (std::exchange(linked_to_, members) != members) {
        links_.connect_to(members);
        log_membership("membership_in_force", membership);
    }
}

void control_group::ask_to_join()
{
    const auto& self = replica_().raft_state().options().self_;
    auto asked = linked_to_;
    for (const auto& name : names_of(seeds_)) {
        if (std::ranges::find(asked, name) == asked.end()) {
            asked.push_back(name);
        }
    }
    for (const auto& name : asked) {
        links_.send_join(name, self);
    }
}

} // namespace sycamorewinch
