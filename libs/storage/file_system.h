/** \file
 * The operating system's file calls as hooks, so that tests make them fail, tear or stop.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** File operations. Every path is relative to the data folder. */
struct file_system {
    /** Returns a whole file; error kind not_found when it does not exist. */
    std::function<result<std::string>(const std::string& path)> read_;
    /** Appends bytes and makes them and the folder entry durable. */
    std::function<result<void>(const std::string& path, std::string_view bytes)> append_;
    /** Replaces a file in one atomic, durable step. */
    std::function<result<void>(const std::string& path, std::string_view bytes)> replace_;
    /** Cuts a file to \p length bytes, durably. */
    std::function<result<void>(const std::string& path, std::uint64_t length)> truncate_;
    /** Returns the bytes that may still be written; may be empty. */
    std::function<std::uint64_t()> free_bytes_;
};

/** Returns the real calls on \p folder, which is created if it is missing and locked against
 * a second process. */
[[nodiscard]] auto open_file_system(const std::string& folder) -> result<file_system>;

} // namespace sycamorewinch
