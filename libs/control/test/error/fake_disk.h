/** \file
 * A data folder in memory whose calls fail, tear and crash, and which forgets at power loss what
 * was not synced.
 */
#pragma once

#include <map>
#include <string>

#include "base/random.h"
#include "storage/file_system.h"

namespace sycamorewinch::test {

/** How often, out of 65536 calls, each fault strikes. */
struct disk_faults {
    std::uint64_t failed_write_ = 0; ///< A part is written, the call fails.
    std::uint64_t failed_sync_ = 0;  ///< All is written, nothing is surely durable, it fails.
    std::uint64_t crash_ = 0;        ///< The process ends before, within or after the call.
};

/** One disk. It outlives the processes that use it. */
class fake_disk {
  public:
    explicit fake_disk(random_hook random) : random_(std::move(random)) {}

    /** Returns the calls for one process. */
    [[nodiscard]] auto open() -> file_system;

    /** Everything that was not synced is kept, lost, or kept in part. */
    void lose_power();

    /** Loses everything, as a replaced disk does. */
    void wipe() { files_.clear(); }

    /** Returns whether a call ended the process since the last question. */
    [[nodiscard]] auto take_crash() -> bool { return std::exchange(crashed_, false); }

    disk_faults faults_;
    bool sync_is_broken_ = false; ///< Variant: calls succeed without making anything durable.
    bool full_ = false;           ///< Every write fails while this holds.
    std::uint64_t writes_ = 0;
    std::uint64_t crash_at_write_ = 0; ///< The process ends at this write; 0 for none.

  private:
    struct file {
        std::string durable_;
        std::string cached_;
        bool exists_durably_ = false;
        bool is_replaced_ = false; ///< The unsynced change is a rename: kept or lost whole.
    };

    /** Carries out one write whose result in the cache would be \p wanted. */
    [[nodiscard]] auto write(const std::string& path, std::string wanted, bool is_atomic)
        -> result<void>;
    [[nodiscard]] auto strikes(std::uint64_t rate) const -> bool;

    random_hook random_;
    std::map<std::string, file> files_;
    bool crashed_ = false;
};

} // namespace sycamorewinch::test
