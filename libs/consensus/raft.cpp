#include "consensus/raft.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/enum_names.h"
#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<raft_role, 4> role_names{{"follower", "pre_candidate", "candidate", "leader"}};

} // namespace

auto name_of(raft_role role) -> std::string_view
{
    return role_names.name(role);
}

auto raft::create(raft_options options, durable_state state, instant now) -> result<raft>
{
    const bool has_fixed_membership = !options.voters_.empty();
    if (has_fixed_membership &&
        std::ranges::find(options.voters_, options.self_) == options.voters_.end()) {
        return failure(error_kind::invalid_input,
                       fmt::format("'{}' is not among the control group's replicas; add it to the "
                                   "setting control-peers",
                                   options.self_));
    }
    auto expected = state.snapshot_.index_;
    for (const auto& entry : state.entries_) {
        if (entry.index_ != ++expected) {
            return failure(error_kind::corrupt,
                           fmt::format("the stored log has entry {} where entry {} is expected",
                                       entry.index_, expected));
        }
    }
    return raft(std::move(options), std::move(state), now);
}

raft::raft(raft_options options, durable_state state, instant now)
    : options_(std::move(options)), vote_(std::move(state.vote_)),
      log_(state.snapshot_.index_, state.snapshot_.term_, std::move(state.entries_)),
      commit_index_(state.snapshot_.index_), leader_contact_at_(now - options_.lease_),
      quorum_contact_at_(leader_contact_at_)
{
    set_base_membership(state.snapshot_.index_, state.snapshot_.membership_);
    apply_membership_entries(log_.entries_after(state.snapshot_.index_));
    if (options_.voters_.empty()) {
        vote_.is_recovered_ = true; // with dynamic membership, a new disk gets a new replica name
    }
    if (state.snapshot_.index_ > 0) {
        snapshot_ = std::make_shared<const log_snapshot>(std::move(state.snapshot_));
    }
    // A replica that has just started knows of no leader, so a short timeout is enough: pre-votes
    // keep it from deposing a leader that the others still hear from.
    election_due_ =
        now + uniform_between(options_.random_, options_.heartbeat_ / 2, 2 * options_.heartbeat_);
    stored_index_ = log_.last_index();
}

void raft::set_vote(vote_state vote)
{
    const bool has_just_recovered = is_recovering() && vote.is_recovered_;
    vote_ = std::move(vote);
    output_.vote_ = vote_;
    is_vote_pending_ = options_.reports_storage_;
    is_recovery_pending_ = is_vote_pending_ && has_just_recovered;
}

void raft::on_stored(std::uint64_t index, std::uint64_t term, instant now)
{
    now_ = now;
    // The entry may have been replaced by one of a later leader. A compacted one is committed.
    if (index >= log_.base_index() && log_.term_at(index) != term) {
        return;
    }
    stored_index_ = std::max(stored_index_, index);
    if (role_ == raft_role::leader) {
        advance_commit();
    }
}

void raft::on_vote_stored(instant now)
{
    now_ = now;
    is_vote_pending_ = false;
    is_recovery_pending_ = false;
    if (role_ == raft_role::candidate || role_ == raft_role::follower) {
        reset_election_timer(now);
    }
}

void raft::send(raft_message message)
{
    message.from_ = options_.self_;
    if (message.term_ == 0) { // pre-vote messages set the term that they ask about
        message.term_ = vote_.term_;
    }
    output_.messages_.push_back(std::move(message));
}

void raft::tick(instant now)
{
    now_ = now;
    if (role_ == raft_role::leader) {
        check_lease(now);
        step_down_if_removed(now);
    }
    if (role_ == raft_role::leader && now >= heartbeat_due_) {
        send_heartbeats(now);
    }
    if (!vote_.is_recovered_) {
        tick_recovery(now);
    }
    if (vote_.is_recovered_ && is_self_voter() && role_ != raft_role::leader && !is_vote_pending_ &&
        now >= election_due_) {
        become_pre_candidate(now);
    }
}

auto raft::propose(std::string command, instant now) -> result<std::uint64_t>
{
    now_ = now;
    if (role_ == raft_role::leader) {
        check_lease(now); // time may have passed since the last tick
    }
    if (role_ != raft_role::leader) {
        return failure(error_kind::unavailable,
                       leader_.empty() ? "the control group has no leader now; try again"
                                       : fmt::format("the leader is {}", leader_));
    }
    append_entry(entry_kind::command, std::move(command));
    replicate();
    advance_commit();
    return last_index();
}

void raft::request_read(std::uint64_t token, instant now)
{
    if (role_ == raft_role::leader) {
        check_lease(now); // time may have passed since the last tick
    }
    // Until it has committed an entry of its own term, a leader may not know the latest commit
    // index.
    if (role_ != raft_role::leader || log_.term_at(commit_index_) != vote_.term_) {
        output_.failed_reads_.push_back(token);
        return;
    }
    reads_.push_back({token, round_ + 1, commit_index_});
    send_heartbeats(now);
    confirm_pending_reads();
}

void raft::receive(const raft_message& message, instant now)
{
    now_ = now;
    // With dynamic membership, the sender may be a member that this replica does not know of yet.
    const bool is_known = options_.voters_.empty() || membership().is_voter(message.from_);
    if (!is_known || message.to_ != options_.self_) {
        return;
    }
    const bool is_pre_vote =
        message.kind_ == raft_message_kind::pre_vote_request ||
        (message.kind_ == raft_message_kind::pre_vote_reply && message.accepted_);
    if (message.term_ > vote_.term_ && !is_pre_vote) {
        become_follower(message.term_, {}, now);
    }
    switch (message.kind_) {
    case raft_message_kind::vote_request:
        return on_vote_request(message, now);
    case raft_message_kind::vote_reply:
        return on_vote_reply(message, now);
    case raft_message_kind::append_request:
        return on_append_request(message, now);
    case raft_message_kind::append_reply:
        return on_append_reply(message, now);
    case raft_message_kind::pre_vote_request:
        return on_pre_vote_request(message, now);
    case raft_message_kind::pre_vote_reply:
        return on_pre_vote_reply(message, now);
    case raft_message_kind::snapshot_request:
        return on_snapshot_request(message, now);
    case raft_message_kind::snapshot_reply:
        return on_snapshot_reply(message, now);
    case raft_message_kind::recovery_request:
        return on_recovery_request(message);
    case raft_message_kind::recovery_reply:
        return on_recovery_reply(message);
    case raft_message_kind::timeout_now:
        return on_timeout_now(message, now);
    }
}

auto raft::currency_age(instant now) const -> std::optional<duration>
{
    const bool is_leader = role_ == raft_role::leader;
    const auto leader_commit_index = is_leader ? commit_index_ : leader_commit_index_;
    // An entry of the leader's term that is committed means that all earlier ones are, too.
    const bool has_all_entries =
        commit_index_ >= leader_commit_index && log_.term_at(leader_commit_index) == vote_.term_;
    if (leader_.empty() || !has_all_entries || !has_quorum_contact(now)) {
        return std::nullopt;
    }
    return now - (is_leader ? quorum_contact_time(now) : quorum_contact_at_);
}

void raft::confirm_pending_reads()
{
    std::vector<std::uint64_t> rounds{is_self_voter() ? round_ : 0};
    for (const auto& [name, peer] : peers_) {
        rounds.push_back(peer.counts_toward_quorum() ? peer.round_ : 0);
    }
    std::ranges::sort(rounds, std::greater<>());
    const auto confirmed_round = rounds[quorum() - 1];
    std::erase_if(reads_, [&](const auto& read) {
        if (read.round_ > confirmed_round) {
            return false;
        }
        output_.reads_.push_back({read.token_, read.index_});
        return true;
    });
}

void raft::fail_pending_reads()
{
    for (const auto& read : reads_) {
        output_.failed_reads_.push_back(read.token_);
    }
    reads_.clear();
}

void raft::compact(std::shared_ptr<const log_snapshot> snapshot)
{
    invariant(snapshot->index_ <= commit_index_, "snapshot at entry {} is ahead of commit index {}",
              snapshot->index_, commit_index_);
    snapshot_ = std::move(snapshot);
    const auto in_force = memberships_.upper_bound(snapshot_->index_);
    if (in_force != memberships_.begin()) {
        memberships_.erase(memberships_.begin(), std::prev(in_force));
    }
    if (snapshot_->index_ > log_.base_index() + options_.retained_entries_) {
        log_.compact_through(snapshot_->index_ - options_.retained_entries_);
    }
}

auto raft::take_output() -> raft_output
{
    auto output = std::move(output_);
    output_ = {};
    return output;
}

} // namespace sycamorewinch
