/** \file
 * Roll-outs: the orders that move the calls of a service to targets of a new software version.
 *
 * The control group decides the state and the share of every roll-out; nodes route by the set that
 * it publishes.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

/** All calls of a service, in the unit of rollout::share_. */
constexpr std::uint32_t whole_share = 1'000;

/** The state of a roll-out. */
enum class rollout_state : std::uint8_t {
    running,     ///< Calls are shared between the new version and the others.
    completed,   ///< Calls go to the new version only.
    rolled_back, ///< No calls go to the new version.
};

/** Returns `running`, `completed` or `rolled_back`. */
[[nodiscard]] auto name_of(rollout_state state) -> std::string_view;

/** The part of a roll-out that nodes route by. */
struct rollout {
    std::string service_;
    std::string new_version_; ///< Software version of the targets that calls move to.
    std::uint64_t id_ = 0;    ///< Identifies the order; a later order has a larger id.
    rollout_state state_ = rollout_state::running;
    std::uint32_t share_ = 0; ///< Calls for the new version, in thousandths of the service's calls.

    [[nodiscard]] auto operator==(const rollout&) const -> bool = default;
};

/** The latest roll-out of every service that had one. */
struct rollout_set {
    std::uint64_t sequence_ = 0;    ///< Increases with every change; 0: no order was ever given.
    std::vector<rollout> rollouts_; ///< Sorted by service.

    [[nodiscard]] auto operator==(const rollout_set&) const -> bool = default;

    /** Returns the roll-out of \p service, or nullptr. */
    [[nodiscard]] auto find(std::string_view service) const -> const rollout*;
};

/** Appends \p rollouts to \p writer as one CBOR array. */
void write_rollout_set(cbor_writer& writer, const rollout_set& rollouts);
/** Reads one set; check \p reader for errors afterwards. */
[[nodiscard]] auto read_rollout_set(cbor_reader& reader) -> rollout_set;

} // namespace sycamorewinch
