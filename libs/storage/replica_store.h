/** \file
 * The durable Raft state of one control replica, in the files `vote`, `snapshot` and `log` of its
 * data folder.
 *
 * Each file starts with a line that names its kind and format version. Each record is preceded by
 * its length and a checksum. open() discards a torn record at the end of the log; a damaged record
 * before the end is an error that names file and offset. open() then rewrites all files, because
 * bytes that an earlier process wrote without a sync may be in the page cache only.
 *
 * save_snapshot() takes two atomic steps: it replaces the snapshot, then the log. After a crash
 * between them the log still holds entries that the snapshot contains. open() drops those entries,
 * and the
 * whole log if its entry at the snapshot's index is missing or has another term.
 */
#pragma once

#include <cstdint>
#include <vector>

#include "base/result.h"
#include "consensus/log_entry.h"
#include "storage/file_system.h"

namespace sycamorewinch {

/** Stores the vote, the log and the snapshot of one replica. */
class replica_store {
  public:
    /** Opens the store and loads its state. Errors: corrupt for a damaged file or another format
     * version, otherwise those of \p files. */
    [[nodiscard]] static auto open(file_system files) -> result<replica_store>;

    /** Moves out the state that open() loaded; call it once. */
    [[nodiscard]] auto take_recovered() -> durable_state { return std::move(recovered_); }

    /** Makes \p vote durable. */
    [[nodiscard]] auto save_vote(const vote_state& vote) -> result<void>;

    /** Removes the log entries after \p index; durable on return. */
    [[nodiscard]] auto truncate_after(std::uint64_t index) -> result<void>;

    /** Appends \p entries to the log with one sync; durable on return. */
    [[nodiscard]] auto append(const std::vector<log_entry>& entries) -> result<void>;

    /** Stores \p snapshot and replaces the log by \p entries, which follow it; durable on return.
     */
    [[nodiscard]] auto save_snapshot(const log_snapshot& snapshot,
                                     const std::vector<log_entry>& entries) -> result<void>;

    /** Returns the size of the log file in bytes. */
    [[nodiscard]] auto log_bytes() const -> std::uint64_t;

  private:
    explicit replica_store(file_system files) : files_(std::move(files)) {}

    [[nodiscard]] auto load_vote() -> result<void>;
    [[nodiscard]] auto load_snapshot() -> result<void>;
    [[nodiscard]] auto load_log() -> result<void>;
    void drop_entries_in_snapshot();
    [[nodiscard]] auto replace_snapshot(const log_snapshot& snapshot) -> result<void>;
    [[nodiscard]] auto replace_log(const std::vector<log_entry>& entries) -> result<void>;

    file_system files_;
    durable_state recovered_;
    std::uint64_t base_index_ = 0;          ///< Index of the entry before the first one in the log.
    std::vector<std::uint64_t> entry_ends_; ///< File offset of the end of each log entry.
};

} // namespace sycamorewinch
