/** \file
 * The envelope of every command in the replicated log: a kind, and the body of that kind.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** The kinds of command. Values are stored: add at the end, never change one. */
enum class command_kind : std::uint8_t {
    accept_table, ///< Body: accept_command.
    run_batch,    ///< Body: run_batch, operations on the record of unrepeatable requests.
};

/** One command as stored. */
struct control_command {
    command_kind kind_ = command_kind::accept_table;
    std::string body_;
};

/** Returns \p command as bytes. */
[[nodiscard]] auto encode_command(const control_command& command) -> std::string;

/** Reads a command back; damaged or oversized input is an error. */
[[nodiscard]] auto decode_control_command(std::string_view bytes) -> result<control_command>;

} // namespace sycamorewinch
