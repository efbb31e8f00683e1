/** \file
 * Operations on the replicated record of unrepeatable requests, their results, and the encoding of
 * both.
 *
 * Before a node forwards an unrepeatable request to its target, it reserves the request's key;
 * afterwards it stores the outcome. Operations are sent in batches from node to relay to the leader
 * of the control group. Results are matched to operations by attempt id on the way back.
 *
 * \code
 * run_operation operation{.kind_ = run_operation_kind::reserve};
 * operation.key_ = make_run_key("dialer", "desk", "callback-17");
 * operation.attempt_ = random_attempt_id(random);
 * \endcode
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/result.h"

namespace sycamorewinch {

/** Identifies one unrepeatable request across the whole system. */
struct run_key {
    std::uint32_t shard_ = 0; ///< The control group that stores the record; only 0 so far.
    digest digest_;           ///< Digest of service, caller and idempotency key.

    [[nodiscard]] auto operator<=>(const run_key&) const = default;
};

/** Returns the key for \p caller's request to \p service with \p idempotency_key. */
[[nodiscard]] auto make_run_key(std::string_view service, std::string_view caller,
                                std::string_view idempotency_key) -> run_key;

/** Returns a random 128-bit attempt id, unique for all practical purposes. */
[[nodiscard]] auto random_attempt_id(const random_hook& random) -> digest;

/** The kind of an operation. Values are stored: append new ones, never change existing ones. */
enum class run_operation_kind : std::uint8_t {
    reserve,  ///< Asks for permission to run the request in this attempt.
    release,  ///< This attempt was granted, but did not run and never will.
    finish,   ///< This attempt ran; store its outcome.
    lose,     ///< This attempt may have run; its outcome is permanently unknown.
    announce, ///< The node has started; attempts of its earlier incarnations are lost. No key.
};
constexpr std::size_t run_operation_kind_count = 5;

/** Returns the name of \p kind. */
[[nodiscard]] auto name_of(run_operation_kind kind) -> std::string_view;

/** One operation on the record. */
struct run_operation {
    run_operation_kind kind_ = run_operation_kind::reserve;
    run_key key_;
    digest attempt_;                 ///< Attempt id.
    std::uint64_t request_hash_ = 0; ///< Of method and path; detects a reused key.
    std::string node_;               ///< The node that proxies for the target.
    std::uint64_t incarnation_ = 0;  ///< Increases with every start of that node.
    std::string outcome_; ///< For finish: the encoded response; empty if too large to keep.

    [[nodiscard]] auto operator==(const run_operation&) const -> bool = default;
};

/** The verdict of the record on an operation. Encoded by value in messages. */
enum class run_verdict : std::uint8_t {
    granted,      ///< This attempt, and no other, may run the request.
    running,      ///< Another attempt holds the key; its node is not known to have restarted.
    finished,     ///< The request ran; run_result::outcome_ is the stored response.
    not_kept,     ///< The request ran; its response is not stored.
    lost,         ///< The request may have run; its outcome is permanently unknown.
    key_reused,   ///< The key was used for a different request.
    record_full,  ///< The record has no space for another key at present.
    unreachable,  ///< No quorum answered in time.
    acknowledged, ///< A release, finish, lose or announce was applied.
};
constexpr std::size_t run_verdict_count = 9;

/** Returns the name of \p verdict. */
[[nodiscard]] auto name_of(run_verdict verdict) -> std::string_view;

/** The result of one operation. */
struct run_result {
    digest attempt_; ///< The attempt id of the operation.
    run_verdict verdict_ = run_verdict::unreachable;
    std::string outcome_; ///< For finished: the stored response.

    [[nodiscard]] auto operator==(const run_result&) const -> bool = default;
};

/** Operations that are applied together, with the leader's time stamp. */
struct run_batch {
    std::uint64_t time_ms_ = 0; ///< Milliseconds since the epoch on the leader's clock.
    std::vector<run_operation> operations_;
};

/** Upper limit on a stored outcome; a longer response is recorded as not_kept. */
constexpr std::size_t max_outcome_bytes = 8U * 1024;

/** Returns \p batch encoded as CBOR. */
[[nodiscard]] auto encode_run_batch(const run_batch& batch) -> std::string;
/** Decodes a batch. Fails on malformed or oversized input. */
[[nodiscard]] auto decode_run_batch(std::string_view bytes) -> result<run_batch>;

/** Returns \p results encoded as CBOR. */
[[nodiscard]] auto encode_run_results(const std::vector<run_result>& results) -> std::string;
/** Decodes results. Fails on malformed or oversized input. */
[[nodiscard]] auto decode_run_results(std::string_view bytes) -> result<std::vector<run_result>>;

} // namespace sycamorewinch
