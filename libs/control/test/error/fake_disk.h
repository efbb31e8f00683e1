/** \file
 * A data folder in memory that injects faults: failed writes and syncs, torn writes, crashes, and
 * power loss, which drops unsynced data.
 */
#pragma once

#include <map>
#include <string>

#include "base/random.h"
#include "storage/file_system.h"

namespace sycamorewinch::test {

/** The rate of each fault, per 65536 calls. */
struct disk_faults {
    std::uint64_t failed_write_ = 0; ///< Writes a part of the data, then fails.
    std::uint64_t failed_sync_ = 0;  ///< Writes all data, then fails; durability is unknown.
    std::uint64_t crash_ = 0;        ///< The process crashes before, during or after the call.
};

/** One disk. It outlives the simulated processes that use it. */
class fake_disk {
  public:
    explicit fake_disk(random_hook random) : random_(std::move(random)) {}

    /** Returns the file system interface for one process. */
    [[nodiscard]] auto open() -> file_system;

    /** Simulates power loss: each unsynced change is kept, lost, or kept in part. */
    void lose_power();

    /** Deletes all files, as when the disk is replaced. */
    void wipe() { files_.clear(); }

    /** Returns whether a call has crashed the process since the last query. */
    [[nodiscard]] auto take_crash() -> bool { return std::exchange(crashed_, false); }

    disk_faults faults_;
    bool log_sync_disabled_ = false; ///< The log file is written but never durable.
    bool is_full_ = false;           ///< Every write fails while this is set.
    std::uint64_t writes_ = 0;
    std::uint64_t crash_at_write_ = 0; ///< Crashes at this write; 0 for none.

  private:
    struct file {
        std::string durable_;
        std::string cached_;
        bool exists_durably_ = false;
        bool is_replaced_ = false; ///< The unsynced change is a rename, so it is atomic.
    };

    /** Performs one write after which the cached content should be \p intended_content. */
    [[nodiscard]] auto write(const std::string& path, std::string intended_content, bool is_atomic)
        -> result<void>;
    [[nodiscard]] auto fault_occurs(std::uint64_t rate) const -> bool;

    random_hook random_;
    std::map<std::string, file> files_;
    bool crashed_ = false;
};

} // namespace sycamorewinch::test
