/** \file
 * The record of unrepeatable requests: the state machine that every control replica builds from
 * the committed log.
 *
 * Deterministic: the same batches in the same order give the same state and results on every
 * replica. Time advances only with the batches, and by at most max_time_step per batch, so that a
 * leader whose clock jumps ahead cannot expire keys early.
 *
 * A key is kept for run_record_limits::retention_ after its reservation and is never evicted
 * earlier: when the record is full, new keys are refused. Stored outcomes are limited by their
 * total size. The oldest are evicted first; their keys stay and still state that the request ran.
 */
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "run_record/run_operation.h"

namespace sycamorewinch {

/** Limits of the record; they must be the same on every replica of a group. */
struct run_record_limits {
    std::size_t max_keys_ = 500'000;
    std::size_t max_total_outcome_bytes_ = 64U * 1024 * 1024;
    std::chrono::milliseconds retention_ = std::chrono::hours(1); ///< Counted from the reservation.
};

/** The most by which one batch may advance the time of the record. */
constexpr std::chrono::milliseconds max_time_step = std::chrono::minutes(1);

/** The replicated record of unrepeatable requests. */
class run_records {
  public:
    explicit run_records(run_record_limits limits = {}) : limits_(limits) {}

    /** Applies \p batch and returns one result for each operation, in order. */
    auto apply(const run_batch& batch) -> std::vector<run_result>;

    /** Returns the number of keys. */
    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
    /** Returns the total size of the stored outcomes, in bytes. */
    [[nodiscard]] auto outcome_bytes() const -> std::size_t { return outcome_bytes_; }

    /** Returns the whole state encoded as CBOR, for a snapshot. */
    [[nodiscard]] auto encode() const -> std::string;
    /** Decodes a state. Fails on malformed input. */
    [[nodiscard]] static auto decode(std::string_view bytes, run_record_limits limits = {})
        -> result<run_records>;

  private:
    /** Encoded by value in snapshots. */
    enum class entry_state : std::uint8_t { reserved, finished, not_kept, lost };
    struct entry {
        entry_state state_ = entry_state::reserved;
        digest attempt_;
        std::uint64_t request_hash_ = 0;
        std::string node_;
        std::uint64_t incarnation_ = 0;
        std::uint64_t reserved_ms_ = 0; ///< In the time of the record, see now_ms_.
        std::string outcome_;
    };

    void advance_clock(std::uint64_t time_ms);
    void remove_expired_keys();
    void update_latest_incarnation(const run_operation& operation);
    auto apply_one(const run_operation& operation) -> run_result;
    auto reserve(const run_operation& operation) -> run_result;
    [[nodiscard]] auto verdict_for_existing_key(const entry& existing,
                                                const run_operation& operation) const
        -> run_verdict;
    void end_attempt(const run_operation& operation);
    void store_outcome(const run_key& key, entry& record, const std::string& outcome);
    void evict_outcomes();

    run_record_limits limits_;
    std::map<run_key, entry> entries_;
    std::deque<std::pair<run_key, digest>> reservation_order_; ///< Oldest reservation first.
    std::deque<std::pair<run_key, digest>> outcome_order_;     ///< Oldest outcome first.
    std::map<std::string, std::uint64_t> latest_incarnations_; ///< By node.
    std::size_t outcome_bytes_ = 0;
    std::uint64_t leader_time_ms_ = 0; ///< The leader's time stamp of the last batch.
    std::uint64_t now_ms_ = 0; ///< The time of the record: the sum of the limited time steps.
};

} // namespace sycamorewinch
