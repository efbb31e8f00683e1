/** \file
 * The replicated record of roll-outs: the latest one of every service, and the commands that change
 * it.
 *
 * Deterministic: replicas that apply the same commands in the same order have the same records.
 * Every command carries the elapsed time of the roll-out as the leader measured it, since clocks of
 * different processes cannot be compared.
 */
#pragma once

#include <map>

#include "base/field_limits.h"
#include "rollout/rollout.h"

namespace sycamorewinch {

/** One change of the share or state, for operators. */
struct rollout_step {
    std::uint64_t elapsed_ms_ = 0; ///< Since the order.
    rollout_state state_ = rollout_state::running;
    std::uint32_t share_ = 0;
    std::string reason_; ///< What decided it.

    [[nodiscard]] auto operator==(const rollout_step&) const -> bool = default;
};

/** The latest roll-out of one service. */
struct rollout_record {
    rollout rollout_;
    std::uint64_t step_ = 0; ///< Number of commands applied since the order.
    std::uint64_t duration_ms_ = 0;
    std::uint64_t elapsed_ms_ = 0;     ///< Since the order, at the latest command.
    std::uint64_t share_since_ms_ = 0; ///< The elapsed time at which the share was set.
    std::vector<rollout_step> steps_;  ///< All changes of share and state, oldest first.

    [[nodiscard]] auto operator==(const rollout_record&) const -> bool = default;
};

/** The kinds of command. Values are stored on disk: add new ones at the end, never change one. */
enum class rollout_command_kind : std::uint8_t {
    start, ///< Order a roll-out.
    step,  ///< Set the share, or only store the elapsed time.
    end,   ///< Complete or roll back.
};

/** One command. start uses service_, version_, share_, duration_ms_ and repeats_rolled_back_; the
 * others use service_, id_, step_, elapsed_ms_, share_ or state_, and reason_. */
struct rollout_command {
    rollout_command_kind kind_ = rollout_command_kind::start;
    std::string service_;
    std::string version_;
    std::uint64_t id_ = 0;
    std::uint64_t step_ = 0; ///< rollout_record::step_ that the command is based on.
    std::uint32_t share_ = 0;
    rollout_state state_ = rollout_state::running;
    std::uint64_t duration_ms_ = 0;
    std::uint64_t elapsed_ms_ = 0;
    /** An order for a version that was rolled back is a new order, not a repetition. */
    bool repeats_rolled_back_ = false;
    std::string reason_;

    [[nodiscard]] auto operator==(const rollout_command&) const -> bool = default;
};

/** The effect of a command. */
enum class rollout_outcome : std::uint8_t {
    applied,
    repeated,      ///< start: the same order was given before.
    other_running, ///< start: another roll-out of the service is running.
    full,          ///< start: no more services can have a record.
    superseded,    ///< step, end: not based on the current step; nothing changed.
};

/** The latest roll-out of every service that had one. */
class rollout_records {
  public:
    /** Applies one command. */
    auto apply(const rollout_command& command) -> rollout_outcome;

    /** Returns what apply() would return for an order, without applying it. */
    [[nodiscard]] auto check_start(const rollout_command& order) const -> rollout_outcome;

    [[nodiscard]] auto find(std::string_view service) const -> const rollout_record*;
    /** Returns all records by service. */
    [[nodiscard]] auto all() const -> const std::map<std::string, rollout_record, std::less<>>&
    {
        return records_;
    }
    /** Increases with every change that nodes must learn; 0: no order was ever given. */
    [[nodiscard]] auto sequence() const -> std::uint64_t { return sequence_; }
    /** Returns the part of the records that nodes route by. */
    [[nodiscard]] auto published() const -> rollout_set;

    /** Encodes the records as CBOR, for a snapshot. */
    [[nodiscard]] auto encode() const -> std::string;
    [[nodiscard]] static auto decode(std::string_view bytes) -> result<rollout_records>;

  private:
    auto start(const rollout_command& order) -> rollout_outcome;

    std::map<std::string, rollout_record, std::less<>> records_;
    std::uint64_t sequence_ = 0;
    std::uint64_t latest_id_ = 0;
};

/** Encodes \p command as CBOR. */
[[nodiscard]] auto encode_command(const rollout_command& command) -> std::string;

/** Decodes a command; malformed or oversized input is an error. */
[[nodiscard]] auto decode_rollout_command(std::string_view bytes) -> result<rollout_command>;

} // namespace sycamorewinch
