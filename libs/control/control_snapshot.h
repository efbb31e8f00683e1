/** \file
 * Everything that the control group agrees on, as one string of bytes for a snapshot.
 *
 * A new part of the replicated state is added here: one field in control_state, one line in
 * encode_state() and one in decode_state(), and a new format version.
 */
#pragma once

#include <string>
#include <string_view>

#include "control/replicated_state.h"
#include "run_record/run_records.h"

namespace sycamorewinch {

/** The parts of the replicated state. */
struct control_state {
    replicated_state tables_;
    run_records runs_;
};

/** Returns \p state as bytes. */
[[nodiscard]] auto encode_state(const control_state& state) -> std::string;

/** Reads a state back; damage and an unknown format version are errors. */
[[nodiscard]] auto decode_state(std::string_view bytes, state_limits limits)
    -> result<control_state>;

} // namespace sycamorewinch
