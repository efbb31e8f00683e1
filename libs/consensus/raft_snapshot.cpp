// Class raft: snapshot transfer to replicas that are behind the compacted log.
#include "consensus/raft.h"

#include <algorithm>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t snapshot_chunk_bytes = 256U * 1024;

} // namespace

// Sends one chunk at a time. Each heartbeat sends the current chunk again, in case the chunk or its
// reply was lost.
void raft::send_snapshot(const std::string& name, peer_progress& peer)
{
    invariant(snapshot_ != nullptr,
              "the log is compacted through entry {} but there is no snapshot", log_.base_index());
    if (!peer.snapshot_) {
        peer.snapshot_ = snapshot_;
        peer.snapshot_offset_ = 0;
    }
    raft_message request;
    request.kind_ = raft_message_kind::snapshot_request;
    request.to_ = name;
    request.log_index_ = peer.snapshot_->index_;
    request.log_term_ = peer.snapshot_->term_;
    request.round_ = round_;
    request.offset_ = peer.snapshot_offset_;
    request.total_ = peer.snapshot_->data_.size();
    request.data_ = peer.snapshot_->data_.substr(request.offset_, snapshot_chunk_bytes);
    if (!peer.snapshot_->membership_.empty()) {
        request.entries_.push_back({peer.snapshot_->index_, peer.snapshot_->term_,
                                    entry_kind::membership, peer.snapshot_->membership_});
    }
    peer.probe_in_flight_ = true;
    send(std::move(request));
}

void raft::on_snapshot_request(const raft_message& message, instant now)
{
    raft_message reply;
    reply.kind_ = raft_message_kind::snapshot_reply;
    reply.to_ = message.from_;
    reply.round_ = message.round_;
    reply.recovering_ = is_recovering();
    reply.log_index_ = message.log_index_;
    if (message.term_ < vote_.term_) {
        send(std::move(reply));
        return;
    }
    invariant(role_ != raft_role::leader, "two leaders in term {}: {} and {}", message.term_,
              options_.self_, message.from_);
    follow(message, now);
    if (message.log_index_ > commit_index_) {
        if (incoming_snapshot_.index_ != message.log_index_ ||
            incoming_snapshot_.term_ != message.log_term_) {
            incoming_snapshot_ = {message.log_index_, message.log_term_, {}, {}};
        }
        if (!message.entries_.empty()) {
            incoming_snapshot_.membership_ = message.entries_.front().payload_;
        }
        if (message.offset_ == incoming_snapshot_.data_.size()) {
            incoming_snapshot_.data_ += message.data_;
        }
        reply.offset_ = incoming_snapshot_.data_.size();
        if (incoming_snapshot_.data_.size() == message.total_) {
            install_received_snapshot(std::exchange(incoming_snapshot_, {}));
        }
    }
    // True if the snapshot is installed or all of its entries were committed here already.
    reply.accepted_ = message.log_index_ <= commit_index_;
    send(std::move(reply));
}

// Entries after the snapshot are kept if the log matches the snapshot: this replica may have
// acknowledged them, and the leader may count them as stored.
void raft::install_received_snapshot(log_snapshot snapshot)
{
    std::vector<log_entry> rest;
    if (log_.term_at(snapshot.index_) == snapshot.term_) {
        rest = log_.entries_after(snapshot.index_);
    }
    else {
        stored_index_ = std::min(stored_index_, commit_index_);
    }
    log_ = replicated_log(snapshot.index_, snapshot.term_, rest);
    commit_index_ = snapshot.index_;
    set_base_membership(snapshot.index_, snapshot.membership_);
    apply_membership_entries(rest);
    snapshot_ = std::make_shared<const log_snapshot>(std::move(snapshot));
    output_.install_ = snapshot_;
    output_.append_ = std::move(rest);
    output_.truncate_after_.reset();
    output_.committed_.clear();
}

void raft::on_snapshot_reply(const raft_message& message, instant now)
{
    const auto found = peers_.find(message.from_);
    if (role_ != raft_role::leader || message.term_ != vote_.term_ || found == peers_.end()) {
        return;
    }
    auto& peer = found->second;
    peer.record_reply(message.recovering_, message.round_, now);
    if (message.accepted_) {
        peer.snapshot_.reset();
        peer.record_stored(message.log_index_);
        advance_commit();
        send_pending(message.from_, peer);
    }
    else if (peer.snapshot_ && peer.snapshot_->index_ == message.log_index_ &&
             message.offset_ != peer.snapshot_offset_ &&
             message.offset_ < peer.snapshot_->data_.size()) {
        peer.snapshot_offset_ = message.offset_;
        send_snapshot(message.from_, peer);
    }
    confirm_pending_reads();
}

} // namespace sycamorewinch
