/** \file
 * The complete replicated state of the control group, and its encoding for snapshots.
 *
 * To add a part to the replicated state, add a field to control_state, encode it in encode_state(),
 * decode it in decode_state(), and increase the format version.
 */
#pragma once

#include <string>
#include <string_view>

#include "control/replicated_state.h"
#include "rollout/rollout_records.h"
#include "run_record/run_records.h"

namespace sycamorewinch {

/** The parts of the replicated state. */
struct control_state {
    replicated_state tables_;
    run_records runs_;
    rollout_records rollouts_;
};

/** Encodes \p state as CBOR. Without a roll-out the format is that of version 2, so that earlier
 * programs can read it. */
[[nodiscard]] auto encode_state(const control_state& state) -> std::string;

/** Decodes a state; malformed input and an unknown format version are errors. */
[[nodiscard]] auto decode_state(std::string_view bytes, state_limits limits)
    -> result<control_state>;

} // namespace sycamorewinch
