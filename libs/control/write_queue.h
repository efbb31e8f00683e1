/** \file
 * The writes of one control replica that are not durable yet, in their order, and the messages that
 * wait for them. At most one batch of writes is under way; what is added meanwhile is the next one.
 *
 * Does no I/O:
 *
 * \code
 * queue.add(std::move(write));
 * queue.hold(vote_reply);
 * if (const auto batch = queue.begin()) {
 *     store(*batch);
 *     for (const auto& message : queue.finish()) send(message);
 * }
 * \endcode
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/raft.h"

namespace sycamorewinch {

/** A change of a replica's durable state. Its parts are stored in the order of the members. */
struct replica_write {
    std::optional<vote_state> vote_;
    /** Replaces the stored snapshot and the stored log, of which append_ then holds what remains.
     */
    std::shared_ptr<const log_snapshot> snapshot_;
    std::optional<std::uint64_t> truncate_after_; ///< Remove stored entries after this index.
    std::vector<log_entry> append_;

    /** Returns what \p output changes. */
    [[nodiscard]] static auto of(const raft_output& output) -> replica_write;
    [[nodiscard]] auto is_empty() const -> bool;
    [[nodiscard]] auto only_appends() const -> bool;
};

/** Writes that are stored together. */
using write_batch = std::vector<replica_write>;

/** Returns whether \p message says that its sender has stored a vote, entries or a snapshot. */
[[nodiscard]] auto promises_storage(const raft_message& message) -> bool;

/** See the file comment. */
class write_queue {
  public:
    /** Adds \p write to the next batch. */
    void add(replica_write write);

    /** Keeps \p message until all writes that were added so far are durable. There must be one. */
    void hold(raft_message message);

    /** Returns the next batch, which is then under way, or null if one is or if there is none. */
    [[nodiscard]] auto begin() -> std::shared_ptr<const write_batch>;

    /** Ends the batch under way, which is durable, and returns the messages that waited for it. */
    [[nodiscard]] auto finish() -> std::vector<raft_message>;

    /** Drops all writes and messages; the batch under way has failed. */
    void clear() { *this = write_queue(); }

    /** Returns whether all writes are durable. */
    [[nodiscard]] auto is_empty() const -> bool { return !under_way_ && next_.empty(); }
    /** Returns whether a vote is not durable yet. */
    [[nodiscard]] auto has_vote() const -> bool;

  private:
    std::shared_ptr<const write_batch> under_way_;
    std::vector<raft_message> waiting_for_it_;
    write_batch next_;
    std::vector<raft_message> waiting_for_next_;
};

} // namespace sycamorewinch
