/** \file
 * The file operations of the operating system as hooks, so that tests can inject errors, torn
 * writes and crashes.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** File operations; every path is relative to the data folder. Errors: not_found if the file does
 * not exist, io for every other failure. */
struct file_system {
    /** Returns the contents of a file. */
    std::function<result<std::string>(const std::string& path)> read_;
    /** Appends bytes to a file, created if missing; durable (with its directory entry) on return.
     */
    std::function<result<void>(const std::string& path, std::string_view bytes)> append_;
    /** Replaces the contents of a file atomically; durable on return. */
    std::function<result<void>(const std::string& path, std::string_view bytes)> replace_;
    /** Truncates a file to \p length bytes; durable on return. */
    std::function<result<void>(const std::string& path, std::uint64_t length)> truncate_;
    /** Returns the free disk space in bytes, 0 if unknown. The hook may be unset. */
    std::function<std::uint64_t()> free_bytes_;
};

/** Returns the operations on the real \p folder, which is created if missing and locked while any
 * copy of the read hook exists. Errors: io if it cannot be created, conflict if another process
 * holds the lock. */
[[nodiscard]] auto open_file_system(const std::string& folder) -> result<file_system>;

} // namespace sycamorewinch
