/** \file
 * The record of one target, as announced by the node beside it, and its CBOR encoding.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/field_limits.h"
#include "base/result.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

/** Whether a target may be given requests. */
enum class target_state : std::uint8_t {
    up,
    draining, ///< Finishes its requests and takes no new ones.
    gone,     ///< Left, or its lease expired.
};

/** Returns the name of \p state. */
[[nodiscard]] auto name_of(target_state state) -> std::string_view;

/** The sequence numbers of a node's own records are multiples of this. The numbers in between are
 * for other processes that mark a target as gone. Such a mark never shares a number with the node's
 * own next record, so the node's own record is always the newer one. */
constexpr std::uint64_t sequence_step = 2;

/** One target of one service. The record with the higher (incarnation, sequence) replaces the
 * other, in whatever order they arrive; left_start_ is merged. */
struct target_record {
    std::string service_;
    std::string target_; ///< Unique within its service.
    std::string availability_zone_;
    std::string node_address_;      ///< Where its node accepts calls from other nodes.
    std::string node_admin_;        ///< Where its node accepts operators' requests.
    std::uint64_t incarnation_ = 0; ///< Increases with every start of its node.
    std::uint64_t sequence_ = 0;    ///< Increases with every change in an incarnation.
    target_state state_ = target_state::up;
    std::uint32_t slots_ = 0;                 ///< Maximum number of concurrent requests.
    std::chrono::milliseconds cold_start_{0}; ///< Time from start to full capacity.
    /** Identifies the start of the target: a later start has a larger number; 0 if unknown. */
    std::uint64_t started_ = 0;
    /** The latest start of the target that has said it is leaving; 0: none. Does not fall when
     * records are merged, since a node that has restarted does not know what was said before. */
    std::uint64_t left_start_ = 0;
    std::string software_version_; ///< Empty if unknown.

    [[nodiscard]] auto operator==(const target_record&) const -> bool = default;
};

/** Returns whether \p record replaces \p than, a record of the same target. */
[[nodiscard]] auto is_newer(const target_record& record, const target_record& than) -> bool;

/** Returns whether both are the same version of a record, whatever their left_start_ is. */
[[nodiscard]] auto is_same_version(const target_record& one, const target_record& other) -> bool;

/** Returns whether the start of the target that \p record describes has said it is leaving. */
[[nodiscard]] auto has_left(const target_record& record) -> bool;

/** Appends \p record to \p writer as one CBOR array. */
void write_target(cbor_writer& writer, const target_record& record);
/** Reads one record; check \p reader for errors afterwards. A name that is longer than an
 * announcement may have is an error. */
[[nodiscard]] auto read_target(cbor_reader& reader) -> target_record;

} // namespace sycamorewinch
