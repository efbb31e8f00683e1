// Class raft: log replication and commit.
#include "consensus/raft.h"

#include <algorithm>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t max_append_bytes = 256U * 1024;
constexpr std::size_t max_bytes_in_flight = 1024U * 1024;
constexpr std::size_t entry_overhead_bytes = 32;

} // namespace

void raft::append_entry(entry_kind kind, std::string payload)
{
    log_.append({log_.last_index() + 1, vote_.term_, kind, std::move(payload)});
    output_.append_.push_back(log_.at(log_.last_index()));
    apply_membership_entry(log_.at(log_.last_index()));
}

// Sends unsent entries to every peer, up to the limit of bytes in flight.
void raft::replicate()
{
    for (auto& [name, peer] : peers_) {
        send_pending(name, peer);
    }
}

// A heartbeat is an append, with or without entries, to every peer; its round confirms pending
// reads. When an append was lost, the consistency check of the next heartbeat fails and the
// follower answers with the last index at which its log may match.
void raft::send_heartbeats(instant now)
{
    ++round_;
    heartbeat_due_ = now + options_.heartbeat_;
    for (auto& [name, peer] : peers_) {
        send_append(name, peer);
        send_pending(name, peer);
    }
}

void raft::send_pending(const std::string& name, peer_progress& peer)
{
    while (!peer.is_probing_ && peer.next_index_ <= log_.last_index() &&
           peer.next_index_ > log_.base_index() && peer.bytes_in_flight_ < max_bytes_in_flight) {
        send_append(name, peer);
    }
    if (peer.is_probing_ && !peer.probe_in_flight_) {
        send_append(name, peer);
    }
}

void raft::send_append(const std::string& name, peer_progress& peer)
{
    const auto before = peer.next_index_ - 1;
    const auto term = log_.term_at(before);
    if (!term) {
        send_snapshot(name, peer);
        return;
    }
    raft_message request;
    request.kind_ = raft_message_kind::append_request;
    request.to_ = name;
    request.log_index_ = before;
    request.log_term_ = *term;
    request.commit_index_ = commit_index_;
    request.round_ = round_;
    request.quorum_age_ms_ =
        static_cast<std::uint64_t>(to_milliseconds(now_ - quorum_contact_time(now_)));
    std::size_t bytes = 0;
    const bool has_room = peer.bytes_in_flight_ < max_bytes_in_flight;
    for (auto next = peer.next_index_; has_room && next <= log_.last_index(); ++next) {
        const auto& entry = log_.at(next);
        if (bytes > 0 && bytes + entry.payload_.size() > max_append_bytes) {
            break;
        }
        bytes += entry.payload_.size() + entry_overhead_bytes;
        request.entries_.push_back(entry);
    }
    if (!request.entries_.empty()) {
        peer.record_sent(request.entries_.back().index_, bytes);
    }
    send(std::move(request));
}

void raft::on_append_request(const raft_message& message, instant now)
{
    raft_message reply;
    reply.kind_ = raft_message_kind::append_reply;
    reply.to_ = message.from_;
    reply.round_ = message.round_;
    reply.recovering_ = is_recovering();
    if (message.term_ < vote_.term_) {
        send(std::move(reply)); // the sender sees the newer term and steps down
        return;
    }
    invariant(role_ != raft_role::leader, "two leaders in term {}: {} and {}", message.term_,
              options_.self_, message.from_);
    follow(message, now);
    quorum_contact_at_ = now - std::chrono::milliseconds(message.quorum_age_ms_);
    leader_commit_index_ = message.commit_index_;
    const bool is_compacted = message.log_index_ < log_.base_index();
    if (!is_compacted && log_.term_at(message.log_index_) != message.log_term_) {
        reply.log_index_ = std::min(message.log_index_ - 1, log_.last_index());
        send(std::move(reply));
        return;
    }
    append_received_entries(message);
    reply.accepted_ = true;
    reply.log_index_ = message.log_index_ + message.entries_.size();
    recovery_.matched_term_ = message.term_;
    recovery_.matched_index_ = reply.log_index_;
    send(std::move(reply));
    commit_up_to(std::min(message.commit_index_, message.log_index_ + message.entries_.size()));
}

void raft::append_received_entries(const raft_message& message)
{
    for (const auto& entry : message.entries_) {
        if (entry.index_ <= log_.last_index()) {
            const bool is_stored =
                entry.index_ <= log_.base_index() || // compacted, thus committed and identical
                log_.term_at(entry.index_) == entry.term_;
            if (is_stored) {
                continue;
            }
            invariant(entry.index_ > commit_index_,
                      "committed entry {} would change (the commit index is {})", entry.index_,
                      commit_index_);
            log_.truncate_after(entry.index_ - 1);
            stored_index_ = std::min(stored_index_, entry.index_ - 1);
            truncate_memberships_after(entry.index_ - 1);
            output_.truncate_after_ =
                std::min(output_.truncate_after_.value_or(UINT64_MAX), entry.index_ - 1);
            std::erase_if(output_.append_,
                          [&](const auto& kept) { return kept.index_ >= entry.index_; });
        }
        log_.append(entry);
        output_.append_.push_back(entry);
        apply_membership_entry(entry);
    }
}

void raft::on_append_reply(const raft_message& message, instant now)
{
    const auto found = peers_.find(message.from_);
    if (role_ != raft_role::leader || message.term_ != vote_.term_ || found == peers_.end()) {
        return;
    }
    auto& peer = found->second;
    peer.record_reply(message.recovering_, message.round_, now);
    if (message.accepted_) {
        peer.record_stored(message.log_index_);
        advance_commit();
        send_pending(message.from_, peer);
    }
    else if (message.log_index_ >= peer.match_index_ && message.log_index_ < peer.next_index_) {
        peer.record_rejected(message.log_index_);
        send_pending(message.from_, peer);
    } // else a stale reply, or a replica that lost stored entries: resending would never end
    confirm_pending_reads();
}

void raft::advance_commit()
{
    std::vector<std::uint64_t> matches{is_self_voter() ? stored_index() : 0};
    for (const auto& [name, peer] : peers_) {
        matches.push_back(peer.counts_toward_quorum() ? peer.match_index_ : 0);
    }
    std::ranges::sort(matches, std::greater<>());
    const auto stored_by_quorum = matches[quorum() - 1];
    if (stored_by_quorum > commit_index_ && log_.term_at(stored_by_quorum) == vote_.term_) {
        commit_up_to(stored_by_quorum);
    }
}

void raft::commit_up_to(std::uint64_t index)
{
    while (commit_index_ < index) {
        ++commit_index_;
        output_.committed_.push_back(log_.at(commit_index_));
    }
}

} // namespace sycamorewinch
