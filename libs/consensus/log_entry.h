/** \file
 * What the replicated log holds, and what a replica must have on disk before it speaks of it.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorewinch {

/** What a log entry is for. */
enum class entry_kind : std::uint8_t {
    no_op,      ///< Written by a new leader, to commit what earlier terms left.
    command,    ///< Applied to the replicated state.
    membership, ///< The replicas of the group from this entry on.
};

/** One entry of the replicated log. Indexes count from 1. */
struct log_entry {
    std::uint64_t index_ = 0;
    std::uint64_t term_ = 0;
    entry_kind kind_ = entry_kind::no_op;
    std::string payload_;

    [[nodiscard]] auto operator==(const log_entry&) const -> bool = default;
};

/** The term a replica has reached and whom it voted for in it (empty: nobody). */
struct vote_state {
    std::uint64_t term_ = 0;
    std::string voted_for_;
    /** False on a fresh disk, until nothing that a lost disk promised can matter any more. Until
     * then the replica does not vote and is not counted. */
    bool is_recovered_ = false;

    [[nodiscard]] auto operator==(const vote_state&) const -> bool = default;
};

/** The replicated state as of one entry, in place of the log up to there. */
struct log_snapshot {
    std::uint64_t index_ = 0; ///< Last entry that the state contains; 0 for none.
    std::uint64_t term_ = 0;  ///< Term of that entry.
    std::string data_;        ///< The state, as its owner encodes it.
    std::string membership_;  ///< The encoded membership as of that entry; empty: the one set up.

    [[nodiscard]] auto operator==(const log_snapshot&) const -> bool = default;
};

/** Everything that a replica finds on its disk when it starts. */
struct durable_state {
    vote_state vote_;
    log_snapshot snapshot_;
    std::vector<log_entry> entries_; ///< What follows the snapshot.
};

} // namespace sycamorewinch
