/** \file
 * The record of unrepeatable requests, as every control replica builds it from the committed log.
 *
 * Deterministic: the same batches in the same order give the same state and results everywhere.
 * Time moves only with the batches, and at most max_time_step per batch, so that a leader whose
 * clock jumps ahead cannot expire keys early.
 *
 * A key is kept for run_record_limits::window_ after it was reserved and never given up before:
 * when all room is taken, new keys are refused. Outcomes are bounded by their bytes; the oldest
 * are dropped first, and what is left of the key still says that the request ran.
 */
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "run_record/run_operation.h"

namespace sycamorewinch {

/** Bounds of the record. The same on every replica of a group. */
struct run_record_limits {
    std::size_t keys_ = 500'000;
    std::size_t outcome_bytes_ = 64U * 1024 * 1024;
    std::chrono::milliseconds window_ = std::chrono::hours(1);
};

/** The longest time that one batch may add. */
constexpr std::chrono::milliseconds max_time_step = std::chrono::minutes(1);

/** The replicated record. */
class run_records {
  public:
    explicit run_records(run_record_limits limits = {}) : limits_(limits) {}

    /** Applies \p batch and returns one result for each operation, in order. */
    auto apply(const run_batch& batch) -> std::vector<run_result>;

    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    [[nodiscard]] auto outcome_bytes() const -> std::size_t { return outcome_bytes_; }

    /** Returns the whole state as bytes, for a snapshot. */
    [[nodiscard]] auto encode() const -> std::string;
    /** Reads a state back; damaged input is an error. */
    [[nodiscard]] static auto decode(std::string_view bytes, run_record_limits limits = {})
        -> result<run_records>;

  private:
    enum class entry_state : std::uint8_t { held, finished, not_kept, lost };
    struct entry {
        entry_state state_ = entry_state::held;
        digest attempt_;
        std::uint64_t request_hash_ = 0;
        std::string node_;
        std::uint64_t incarnation_ = 0;
        std::uint64_t reserved_ms_ = 0;
        std::string outcome_;
    };

    void advance(std::uint64_t time_ms);
    void expire();
    void note_incarnation(const run_operation& operation);
    auto apply_one(const run_operation& operation) -> run_result;
    auto reserve(const run_operation& operation) -> run_result;
    [[nodiscard]] auto verdict_on(const entry& held, const run_operation& operation) const
        -> run_verdict;
    void end_attempt(const run_operation& operation);
    void keep_outcome(const run_key& key, entry& one, const std::string& outcome);
    void drop_outcomes();

    run_record_limits limits_;
    std::map<run_key, entry> entries_;
    std::deque<std::pair<run_key, digest>> by_age_;     ///< Oldest reservation first.
    std::deque<std::pair<run_key, digest>> by_outcome_; ///< Oldest outcome first.
    std::map<std::string, std::uint64_t> incarnations_; ///< The latest seen of each node.
    std::size_t outcome_bytes_ = 0;
    std::uint64_t leader_time_ms_ = 0; ///< The last batch's own time.
    std::uint64_t now_ms_ = 0;         ///< The record's time: sum of the bounded steps.
};

} // namespace sycamorewinch
