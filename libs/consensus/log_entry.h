/** \file
 * Log entries, and the Raft state that a replica must make durable before it sends messages that
 * depend on it.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorewinch {

/** The kinds of log entry. */
enum class entry_kind : std::uint8_t {
    no_op,      ///< Appended by a new leader, to commit entries of earlier terms.
    command,    ///< Applied to the replicated state.
    membership, ///< The group membership, in force from this entry on.
};

/** One entry of the replicated log. Indexes count from 1. */
struct log_entry {
    std::uint64_t index_ = 0;
    std::uint64_t term_ = 0;
    entry_kind kind_ = entry_kind::no_op;
    std::string payload_;

    [[nodiscard]] auto operator==(const log_entry&) const -> bool = default;
};

/** The latest term that a replica has seen, and the candidate it voted for in that term (empty:
 * none). */
struct vote_state {
    std::uint64_t term_ = 0;
    std::string voted_for_;
    /** False on an empty disk until the recovery protocol has completed (see raft_recovery.cpp),
     * since a lost disk may have held votes and acknowledged entries. Until then the replica does
     * not vote and does not count toward a quorum. */
    bool is_recovered_ = false;

    [[nodiscard]] auto operator==(const vote_state&) const -> bool = default;
};

/** The replicated state as of one entry, which replaces the log up to and including that entry. */
struct log_snapshot {
    std::uint64_t index_ = 0; ///< Last entry applied to the state; 0 for no snapshot.
    std::uint64_t term_ = 0;  ///< Term of that entry.
    std::string data_;        ///< The state, encoded by the owner of the replica.
    std::string membership_;  ///< Encoded membership as of that entry; empty: the configured one.

    [[nodiscard]] auto operator==(const log_snapshot&) const -> bool = default;
};

/** The durable state that a replica reads from its disk when it starts. */
struct durable_state {
    vote_state vote_;
    log_snapshot snapshot_;
    std::vector<log_entry> entries_; ///< The entries after the snapshot, with consecutive indexes.
};

} // namespace sycamorewinch
