/** \file
 * The durable state of one control replica in one data folder: the files `vote`, `snapshot` and
 * `log`.
 *
 * Each file starts with its kind and format version. Each record is framed by its length and a
 * checksum. On opening, a torn record at the end of the log is cut off; damage before the end is an
 * error that names file and offset. All files are then written anew, because what an earlier
 * process wrote without a sync may only seem to be on the disk.
 *
 * A snapshot replaces the log in two atomic steps, snapshot first. After a crash between them the
 * log still holds entries that the snapshot contains; opening drops those, and all of the log when
 * it does not agree with the snapshot at the snapshot's index.
 */
#pragma once

#include <cstdint>
#include <vector>

#include "base/result.h"
#include "consensus/log_entry.h"
#include "storage/file_system.h"

namespace sycamorewinch {

/** Reads and writes one replica's vote and log. */
class replica_store {
  public:
    /** Opens the store and reads what it holds. */
    [[nodiscard]] static auto open(file_system files) -> result<replica_store>;

    /** Returns what was read on opening, once. */
    [[nodiscard]] auto take_recovered() -> durable_state { return std::move(recovered_); }

    /** Makes \p vote durable. */
    [[nodiscard]] auto save_vote(const vote_state& vote) -> result<void>;

    /** Drops the entries above \p index, durably. */
    [[nodiscard]] auto truncate_after(std::uint64_t index) -> result<void>;

    /** Makes \p entries durable with one sync. */
    [[nodiscard]] auto append(const std::vector<log_entry>& entries) -> result<void>;

    /** Makes \p snapshot durable, and \p entries, which follow it, in place of the log. */
    [[nodiscard]] auto save_snapshot(const log_snapshot& snapshot,
                                     const std::vector<log_entry>& entries) -> result<void>;

    /** Returns the bytes of the log file. */
    [[nodiscard]] auto log_bytes() const -> std::uint64_t;

  private:
    explicit replica_store(file_system files) : files_(std::move(files)) {}

    [[nodiscard]] auto load_vote() -> result<void>;
    [[nodiscard]] auto load_snapshot() -> result<void>;
    [[nodiscard]] auto load_log() -> result<void>;
    void drop_what_the_snapshot_contains();
    [[nodiscard]] auto replace_snapshot(const log_snapshot& snapshot) -> result<void>;
    [[nodiscard]] auto replace_log(const std::vector<log_entry>& entries) -> result<void>;

    file_system files_;
    durable_state recovered_;
    std::uint64_t base_index_ = 0;    ///< Index of the entry before the log's first one.
    std::vector<std::uint64_t> ends_; ///< File offset behind each entry, by position.
};

} // namespace sycamorewinch
