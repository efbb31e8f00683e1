#include "consensus/raft.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/enum_names.h"
#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<raft_role, 3> role_names{{"follower", "candidate", "leader"}};
constexpr std::size_t max_entries_per_append = 256;

} // namespace

auto name_of(raft_role role) -> std::string_view
{
    return role_names.name(role);
}

auto raft::create(raft_options options, durable_state state, instant now) -> result<raft>
{
    if (std::ranges::find(options.voters_, options.self_) == options.voters_.end()) {
        return failure(error_kind::invalid_input,
                       fmt::format("'{}' is not among the control group's replicas; add it to the "
                                   "setting control-peers",
                                   options.self_));
    }
    for (std::size_t position = 0; position < state.entries_.size(); ++position) {
        if (state.entries_[position].index_ != position + 1) {
            return failure(error_kind::corrupt,
                           fmt::format("the stored log has entry {} where {} belongs",
                                       state.entries_[position].index_, position + 1));
        }
    }
    return raft(std::move(options), std::move(state), now);
}

raft::raft(raft_options options, durable_state state, instant now)
    : options_(std::move(options)), vote_(std::move(state.vote_)), log_(std::move(state.entries_))
{
    reset_election_timer(now);
}

auto raft::term_at(std::uint64_t index) const -> std::uint64_t
{
    return index == 0 || index > log_.size() ? 0 : log_[index - 1].term_;
}

void raft::reset_election_timer(instant now)
{
    election_due_ = now + uniform_between(options_.random_, options_.lease_, 2 * options_.lease_);
}

void raft::send(raft_message message)
{
    message.from_ = options_.self_;
    message.term_ = vote_.term_;
    output_.messages_.push_back(std::move(message));
}

void raft::tick(instant now)
{
    if (role_ == raft_role::leader) {
        check_lease(now);
    }
    if (role_ == raft_role::leader && now >= heartbeat_due_) {
        send_to_all(now);
    }
    if (role_ != raft_role::leader && now >= election_due_) {
        become_candidate(now);
    }
}

// A leader that a quorum has not answered within a lease may have been replaced without knowing.
void raft::check_lease(instant now)
{
    std::size_t heard = 1;
    for (const auto& [name, peer] : peers_) {
        heard += now - peer.heard_ < options_.lease_ ? 1 : 0;
    }
    if (heard < quorum()) {
        become_follower(vote_.term_, {}, now);
    }
}

void raft::become_follower(std::uint64_t term, const std::string& leader, instant now)
{
    if (term > vote_.term_) {
        vote_ = {term, {}};
        output_.vote_ = vote_;
    }
    role_ = raft_role::follower;
    leader_ = leader;
    fail_reads();
    reset_election_timer(now);
}

void raft::become_candidate(instant now)
{
    role_ = raft_role::candidate;
    leader_.clear();
    vote_ = {vote_.term_ + 1, options_.self_};
    output_.vote_ = vote_;
    votes_ = {options_.self_};
    reset_election_timer(now);
    if (votes_.size() >= quorum()) {
        become_leader(now);
        return;
    }
    for (const auto& peer : options_.voters_) {
        if (peer != options_.self_) {
            raft_message request;
            request.kind_ = raft_message_kind::vote_request;
            request.to_ = peer;
            request.log_index_ = last_index();
            request.log_term_ = term_at(last_index());
            send(std::move(request));
        }
    }
}

void raft::become_leader(instant now)
{
    role_ = raft_role::leader;
    leader_ = options_.self_;
    peers_.clear();
    for (const auto& peer : options_.voters_) {
        if (peer != options_.self_) {
            peers_[peer] = {last_index() + 1, 0, 0, now};
        }
    }
    append_entry(entry_kind::no_op, {});
    send_to_all(now);
    advance_commit();
}

void raft::append_entry(entry_kind kind, std::string payload)
{
    log_.push_back({last_index() + 1, vote_.term_, kind, std::move(payload)});
    output_.append_.push_back(log_.back());
}

auto raft::propose(std::string command, instant now) -> result<std::uint64_t>
{
    if (role_ != raft_role::leader) {
        return failure(error_kind::unavailable,
                       leader_.empty() ? "the control group has no leader now; try again"
                                       : fmt::format("the leader is {}", leader_));
    }
    append_entry(entry_kind::command, std::move(command));
    send_to_all(now);
    advance_commit();
    return last_index();
}

void raft::request_read(std::uint64_t token, instant now)
{
    // Before its first own commit a leader may not know all that earlier terms committed.
    if (role_ != raft_role::leader || term_at(commit_) != vote_.term_) {
        output_.failed_reads_.push_back(token);
        return;
    }
    reads_.push_back({token, round_ + 1, commit_});
    send_to_all(now);
    confirm_reads();
}

void raft::send_to_all(instant now)
{
    ++round_;
    heartbeat_due_ = now + options_.heartbeat_;
    for (const auto& [name, peer] : peers_) {
        send_append(name);
    }
}

void raft::send_append(const std::string& peer)
{
    auto& progress = peers_.at(peer);
    raft_message request;
    request.kind_ = raft_message_kind::append_request;
    request.to_ = peer;
    request.log_index_ = progress.next_ - 1;
    request.log_term_ = term_at(request.log_index_);
    request.commit_ = commit_;
    request.round_ = round_;
    const auto end =
        std::min<std::size_t>(log_.size(), progress.next_ - 1 + max_entries_per_append);
    for (auto position = progress.next_ - 1; position < end; ++position) {
        request.entries_.push_back(log_[position]);
    }
    send(std::move(request));
}

void raft::receive(const raft_message& message, instant now)
{
    const auto known = std::ranges::find(options_.voters_, message.from_);
    if (known == options_.voters_.end() || message.to_ != options_.self_) {
        return;
    }
    if (message.term_ > vote_.term_) {
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
    }
}

void raft::on_vote_request(const raft_message& message, instant now)
{
    const bool log_is_current =
        message.log_term_ > term_at(last_index()) ||
        (message.log_term_ == term_at(last_index()) && message.log_index_ >= last_index());
    const bool vote_is_free = vote_.voted_for_.empty() || vote_.voted_for_ == message.from_;
    const bool granted = message.term_ == vote_.term_ && vote_is_free && log_is_current;
    if (granted) {
        vote_.voted_for_ = message.from_;
        output_.vote_ = vote_;
        reset_election_timer(now);
    }
    raft_message reply;
    reply.kind_ = raft_message_kind::vote_reply;
    reply.to_ = message.from_;
    reply.accepted_ = granted;
    send(std::move(reply));
}

void raft::on_vote_reply(const raft_message& message, instant now)
{
    if (role_ != raft_role::candidate || message.term_ != vote_.term_ || !message.accepted_) {
        return;
    }
    votes_.insert(message.from_);
    if (votes_.size() >= quorum()) {
        become_leader(now);
    }
}

void raft::on_append_request(const raft_message& message, instant now)
{
    raft_message reply;
    reply.kind_ = raft_message_kind::append_reply;
    reply.to_ = message.from_;
    reply.round_ = message.round_;
    if (message.term_ < vote_.term_) {
        send(std::move(reply)); // the sender sees the newer term and steps down
        return;
    }
    invariant(role_ != raft_role::leader, "two leaders in term {}: {} and {}", message.term_,
              options_.self_, message.from_);
    become_follower(message.term_, message.from_, now);
    const bool fits =
        message.log_index_ <= last_index() && term_at(message.log_index_) == message.log_term_;
    if (!fits) {
        reply.log_index_ = std::min(message.log_index_ - 1, last_index());
        send(std::move(reply));
        return;
    }
    take_entries(message);
    reply.accepted_ = true;
    reply.log_index_ = message.log_index_ + message.entries_.size();
    send(std::move(reply));
    commit_up_to(std::min(message.commit_, message.log_index_ + message.entries_.size()));
}

void raft::take_entries(const raft_message& message)
{
    for (const auto& entry : message.entries_) {
        if (entry.index_ <= last_index()) {
            if (term_at(entry.index_) == entry.term_) {
                continue;
            }
            invariant(entry.index_ > commit_, "committed entry {} would change (commit is {})",
                      entry.index_, commit_);
            log_.resize(entry.index_ - 1);
            output_.truncate_after_ =
                std::min(output_.truncate_after_.value_or(UINT64_MAX), entry.index_ - 1);
            std::erase_if(output_.append_,
                          [&](const auto& kept) { return kept.index_ >= entry.index_; });
        }
        log_.push_back(entry);
        output_.append_.push_back(entry);
    }
}

void raft::on_append_reply(const raft_message& message, instant now)
{
    const auto found = peers_.find(message.from_);
    if (role_ != raft_role::leader || message.term_ != vote_.term_ || found == peers_.end()) {
        return;
    }
    auto& peer = found->second;
    peer.heard_ = now;
    peer.round_ = std::max(peer.round_, message.round_);
    if (message.accepted_) {
        peer.match_ = std::max(peer.match_, message.log_index_);
        peer.next_ = std::max(peer.next_, peer.match_ + 1);
        advance_commit();
    }
    else if (message.log_index_ >= peer.match_) {
        peer.next_ = message.log_index_ + 1;
        send_append(message.from_);
    } // else a late reply, or a replica that lost what it stored: answering would never end
    confirm_reads();
}

void raft::advance_commit()
{
    std::vector<std::uint64_t> matches{last_index()};
    for (const auto& [name, peer] : peers_) {
        matches.push_back(peer.match_);
    }
    std::ranges::sort(matches, std::greater<>());
    const auto stored_by_quorum = matches[quorum() - 1];
    if (term_at(stored_by_quorum) == vote_.term_) {
        commit_up_to(stored_by_quorum);
    }
}

void raft::commit_up_to(std::uint64_t index)
{
    while (commit_ < index) {
        output_.committed_.push_back(log_[commit_]);
        ++commit_;
    }
}

void raft::confirm_reads()
{
    std::vector<std::uint64_t> rounds{round_};
    for (const auto& [name, peer] : peers_) {
        rounds.push_back(peer.round_);
    }
    std::ranges::sort(rounds, std::greater<>());
    const auto proven = rounds[quorum() - 1];
    std::erase_if(reads_, [&](const auto& read) {
        if (read.round_ > proven) {
            return false;
        }
        output_.reads_.push_back({read.token_, read.index_});
        return true;
    });
}

void raft::fail_reads()
{
    for (const auto& read : reads_) {
        output_.failed_reads_.push_back(read.token_);
    }
    reads_.clear();
}

auto raft::take_output() -> raft_output
{
    auto output = std::move(output_);
    output_ = {};
    return output;
}

} // namespace sycamorewinch
