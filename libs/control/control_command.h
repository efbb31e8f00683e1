/** \file
 * The envelope of every command in the replicated log: a kind and an encoded body.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** The kinds of command. Values are stored on disk: add new ones at the end, never change one. */
enum class command_kind : std::uint8_t {
    accept_table, ///< Body: accept_command.
    run_batch,    ///< Body: run_batch, operations on the record of non-idempotent requests.
    rollout,      ///< Body: rollout_command.
};

/** One command of the replicated log. */
struct control_command {
    command_kind kind_ = command_kind::accept_table;
    std::string body_;
};

/** Encodes \p command as CBOR. */
[[nodiscard]] auto encode_command(const control_command& command) -> std::string;

/** Decodes a command; malformed or oversized input is an error. */
[[nodiscard]] auto decode_control_command(std::string_view bytes) -> result<control_command>;

} // namespace sycamorewinch
