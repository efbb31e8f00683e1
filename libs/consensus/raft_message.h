/** \file
 * The messages between the replicas of the control group, and their CBOR encoding.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "consensus/log_entry.h"

namespace sycamorewinch {

/** The kinds of message between replicas. The values are sent on the wire. */
enum class raft_message_kind : std::uint8_t {
    vote_request,
    vote_reply,
    append_request, ///< AppendEntries; without entries a plain heartbeat.
    append_reply,
    pre_vote_request, ///< Asks whether an election could be won, before raising the term.
    pre_vote_reply,
    snapshot_request, ///< One chunk of a snapshot.
    snapshot_reply,
    recovery_request, ///< From a replica with an empty disk; see raft_recovery.cpp.
    recovery_reply,   ///< accepted_: replica is empty; log_index_: leader's last entry.
    timeout_now,      ///< From a leader that steps down: the receiver stands for election at once.
};

/** Returns the name of \p kind for logs. */
[[nodiscard]] auto name_of(raft_message_kind kind) -> std::string_view;

/** One message between replicas. Which fields are used depends on the kind. */
struct raft_message {
    raft_message_kind kind_ = raft_message_kind::append_request;
    std::string from_;
    std::string to_;
    std::uint64_t term_ = 0;
    std::uint64_t log_index_ = 0;    ///< Entry before those sent, or the sender's last entry.
    std::uint64_t log_term_ = 0;     ///< Term of that entry.
    std::uint64_t commit_index_ = 0; ///< The leader's commit index.
    /** Heartbeat round, echoed in replies to confirm reads. Recovery: the nonce of the request. */
    std::uint64_t round_ = 0;
    /** Append requests: milliseconds since the leader last had replies from a quorum. */
    std::uint64_t quorum_age_ms_ = 0;
    bool recovering_ = false; ///< Replies: the sender does not count toward a quorum.
    bool accepted_ = false;   ///< Replies: whether the vote was granted or the entries stored.
    std::vector<log_entry> entries_;
    std::uint64_t offset_ = 0; ///< Snapshot: offset of data_; reply: bytes received so far.
    std::uint64_t total_ = 0;  ///< Snapshot: total bytes.
    std::string data_;         ///< Snapshot: this chunk.
};

/** Encodes \p message as CBOR. */
[[nodiscard]] auto encode_message(const raft_message& message) -> std::string;

/** Decodes a message; malformed or oversized input is an error. */
[[nodiscard]] auto decode_raft_message(std::string_view bytes) -> result<raft_message>;

} // namespace sycamorewinch
