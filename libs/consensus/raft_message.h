/** \file
 * The messages between the replicas of the control group, and their CBOR form.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "consensus/log_entry.h"

namespace sycamorewinch {

/** The kinds of message between replicas. */
enum class raft_message_kind : std::uint8_t {
    vote_request,
    vote_reply,
    append_request, ///< Also the heartbeat, when it carries no entries.
    append_reply,
    pre_vote_request, ///< Asks whether an election could be won, before the term is raised.
    pre_vote_reply,
    snapshot_request, ///< One chunk of a snapshot.
    snapshot_reply,
    recovery_request, ///< From a replica with a fresh disk; see raft_recovery.cpp.
    recovery_reply,   ///< accepted_: holds nothing; log_index_: last entry, from a leader.
};

/** Returns the name of \p kind for logs. */
[[nodiscard]] auto name_of(raft_message_kind kind) -> std::string_view;

/** One message between replicas. Which fields mean something depends on the kind. */
struct raft_message {
    raft_message_kind kind_ = raft_message_kind::append_request;
    std::string from_;
    std::string to_;
    std::uint64_t term_ = 0;
    std::uint64_t log_index_ = 0; ///< Entry before the sent ones, or the last one held.
    std::uint64_t log_term_ = 0;  ///< Term of that entry.
    std::uint64_t commit_ = 0;    ///< What the leader knows committed.
    std::uint64_t round_ = 0;     ///< Heartbeat round, echoed, which proves a read current.
    /** Appends: milliseconds since a quorum had answered the leader. */
    std::uint64_t quorum_age_ms_ = 0;
    bool recovering_ = false; ///< Replies: the sender is not to be counted.
    bool accepted_ = false;   ///< Replies: whether the vote or the entries were taken.
    std::vector<log_entry> entries_;
    std::uint64_t offset_ = 0; ///< Snapshot: where data_ starts; reply: bytes held so far.
    std::uint64_t total_ = 0;  ///< Snapshot: bytes in all.
    std::string data_;         ///< Snapshot: this chunk.
};

/** Returns \p message as bytes. */
[[nodiscard]] auto encode_message(const raft_message& message) -> std::string;

/** Reads a message back; damaged or oversized input is an error. */
[[nodiscard]] auto decode_raft_message(std::string_view bytes) -> result<raft_message>;

} // namespace sycamorewinch
