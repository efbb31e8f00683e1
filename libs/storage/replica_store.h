/** \file
 * The durable state of one control replica: its vote and its log, in one data folder.
 *
 * Each record of the log is framed by its length and a checksum. On opening, a torn record at the
 * end is cut off; damage before the end is an error that names file and offset.
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

  private:
    explicit replica_store(file_system files) : files_(std::move(files)) {}

    [[nodiscard]] auto load_vote() -> result<void>;
    [[nodiscard]] auto load_log() -> result<void>;

    file_system files_;
    durable_state recovered_;
    std::vector<std::uint64_t> ends_; ///< File offset behind each entry, by position.
};

} // namespace sycamorewinch
