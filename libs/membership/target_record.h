/** \file
 * What the system knows of one target, as announced by the node beside it.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

/** Whether a target may be given work. */
enum class target_state : std::uint8_t {
    up,
    draining, ///< Finishes what it has and takes nothing new.
    gone,     ///< Left, or its lease ran out.
};

/** Returns the name of \p state. */
[[nodiscard]] auto name_of(target_state state) -> std::string_view;

/** A node's own records have sequences that are multiples of this. The numbers between are for
 * whoever marks a target as gone, so that such a mark and the node's own next record never share
 * one: the node's own word is the later one. */
constexpr std::uint64_t sequence_step = 2;

/** One target of one service. A record with a later (incarnation, sequence) replaces an earlier
 * one, in whatever order they arrive. */
struct target_record {
    std::string service_;
    std::string target_; ///< Unique within its service.
    std::string availability_zone_;
    std::string node_address_;      ///< Where the node beside it takes calls from other nodes.
    std::string node_admin_;        ///< Where that node takes operators' requests.
    std::uint64_t incarnation_ = 0; ///< Rises with every start of that node.
    std::uint64_t sequence_ = 0;    ///< Rises with every change within one incarnation.
    target_state state_ = target_state::up;
    std::uint32_t slots_ = 0;                 ///< Requests it runs at once.
    std::chrono::milliseconds cold_start_{0}; ///< Time to full speed after it came up.

    [[nodiscard]] auto operator==(const target_record&) const -> bool = default;
};

/** Returns whether \p record is later news than \p than of the same target. */
[[nodiscard]] auto is_newer(const target_record& record, const target_record& than) -> bool;

/** Appends \p record to \p writer as one array. */
void write_target(cbor_writer& writer, const target_record& record);
/** Takes one record from \p reader; check the reader afterwards. */
[[nodiscard]] auto read_target(cbor_reader& reader) -> target_record;

} // namespace sycamorewinch
