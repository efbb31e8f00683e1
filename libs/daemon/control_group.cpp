#include "daemon/control_group.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "codec/text_check.h"
#include "observability/log.h"
#include "storage/replica_identity.h"

namespace sycamorewinch {

namespace {

/** Replicas that start together send their join requests within this time. */
constexpr duration initial_join_window = std::chrono::milliseconds(1'500);
/** The Raft term of the entry that founders store before any election. */
constexpr std::uint64_t first_term = 1;

auto replica_names(const std::vector<peer_address>& seeds) -> std::vector<std::string>
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

auto establish_replica_name(const daemon_settings& settings, const file_system& files,
                            replica_store& store, const random_hook& random) -> result<std::string>
{
    const auto address = to_text(settings.listen_peers_);
    const group_membership founders{replica_names(settings.control_seeds_), {}};
    const bool is_founder = settings.founds_group_ && founders.is_voter(address);
    const auto identity = load_or_create_identity(files, address, is_founder, random);
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

void control_group::maintain(instant now)
{
    const auto& raft = replica_().raft_state();
    update_links();
    if (raft.role() == raft_role::leader) {
        const leader_view view{raft.options().self_, raft.last_index(), &raft.peers()};
        if (const auto next = planner_.next(raft.membership(), view, now)) {
            propose(*next, now);
        }
    }
    else if (raft.leader().empty() || !raft.membership().is_voter(raft.options().self_)) {
        request_to_join();
    }
}

void control_group::on_join(const std::string& candidate, instant now)
{
    if (!is_utf8(candidate) || !parse_peer_address(replica_address_of(candidate))) {
        log_event(log_level::warning, "bad_join_request", {{"candidate", candidate}});
        return;
    }
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
        now - started_at_ >= initial_join_window) {
        return std::nullopt;
    }
    return error{error_kind::unavailable, "replicas are still joining the control group"};
}

// Raft rejects a change while the previous one is uncommitted; the next maintain() call proposes
// it again.
void control_group::propose(const group_membership& next, instant now)
{
    if (replica_().propose_membership(next, now)) {
        log_membership("membership_proposed", next);
    }
}

void control_group::update_links()
{
    const auto& membership = replica_().raft_state().membership();
    auto members = membership.all();
    if (members.empty()) {
        members = replica_names(seeds_);
    }
    if (std::exchange(linked_members_, members) != members) {
        links_.connect_to(members);
        log_membership("membership_in_force", membership);
    }
}

void control_group::request_to_join()
{
    const auto& self = replica_().raft_state().options().self_;
    auto recipients = linked_members_;
    for (const auto& name : replica_names(seeds_)) {
        if (std::ranges::find(recipients, name) == recipients.end()) {
            recipients.push_back(name);
        }
    }
    for (const auto& name : recipients) {
        links_.send_join(name, self);
    }
}

} // namespace sycamorewinch
