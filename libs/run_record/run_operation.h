/** \file
 * What nodes ask of the record of unrepeatable requests, and what it answers.
 *
 * Before a node gives an unrepeatable request to its target it reserves the request's key; after,
 * it stores the outcome. Operations travel upwards in batches, from node to relay to the leader of
 * the control group; results travel back by the attempt's number.
 *
 * \code
 * run_operation one{.kind_ = run_operation_kind::reserve};
 * one.key_ = make_run_key("dialer", "desk", "callback-17");
 * one.attempt_ = new_attempt(random);
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

/** Names one unrepeatable request in the whole system. */
struct run_key {
    std::uint32_t shard_ = 0; ///< The group that holds the record; one group today.
    digest digest_;           ///< Of service, caller and idempotency key.

    [[nodiscard]] auto operator<=>(const run_key&) const = default;
};

/** Returns the key of \p caller's request to \p service under its \p idempotency_key. */
[[nodiscard]] auto make_run_key(std::string_view service, std::string_view caller,
                                std::string_view idempotency_key) -> run_key;

/** Returns a number that no other attempt has. */
[[nodiscard]] auto new_attempt(const random_hook& random) -> digest;

/** What is asked. Values are stored: add at the end, never change one. */
enum class run_operation_kind : std::uint8_t {
    reserve,  ///< May this attempt run the request?
    release,  ///< This attempt was granted and has not run and never will.
    finish,   ///< This attempt ran; store its outcome.
    lose,     ///< This attempt may have run; its outcome will never be known.
    announce, ///< A node has started; what its earlier incarnations held is lost. No key.
};
constexpr std::size_t run_operation_kind_count = 5;

/** Returns the name of \p kind. */
[[nodiscard]] auto name_of(run_operation_kind kind) -> std::string_view;

/** One operation. */
struct run_operation {
    run_operation_kind kind_ = run_operation_kind::reserve;
    run_key key_;
    digest attempt_;
    std::uint64_t request_hash_ = 0; ///< Of method and path: a key belongs to one request.
    std::string node_;               ///< The node beside the target.
    std::uint64_t incarnation_ = 0;  ///< Rises with every start of that node.
    std::string outcome_;            ///< Finish: the answer, or empty if it is too large to keep.

    [[nodiscard]] auto operator==(const run_operation&) const -> bool = default;
};

/** What the record says of an operation. */
enum class run_verdict : std::uint8_t {
    granted,      ///< This attempt alone may run the request.
    running,      ///< Another attempt holds the key and its node is alive.
    finished,     ///< It ran; run_result::outcome_ is the answer.
    not_kept,     ///< It ran; the answer is not kept.
    lost,         ///< It may have run; the outcome will never be known.
    key_reused,   ///< The key belongs to another request.
    record_full,  ///< No room for another key now.
    unreachable,  ///< No quorum answered.
    acknowledged, ///< Release, finish and lose.
};
constexpr std::size_t run_verdict_count = 9;

/** Returns the name of \p verdict. */
[[nodiscard]] auto name_of(run_verdict verdict) -> std::string_view;

/** The answer to one operation. */
struct run_result {
    digest attempt_;
    run_verdict verdict_ = run_verdict::unreachable;
    std::string outcome_;

    [[nodiscard]] auto operator==(const run_result&) const -> bool = default;
};

/** Operations applied together, at a time that the leader gives them. */
struct run_batch {
    std::uint64_t time_ms_ = 0; ///< Since the epoch, on the leader's clock.
    std::vector<run_operation> operations_;
};

/** A stored outcome is at most this long; a longer answer counts as not kept. */
constexpr std::size_t max_outcome_bytes = 8U * 1024;

/** Returns \p batch as bytes. */
[[nodiscard]] auto encode_run_batch(const run_batch& batch) -> std::string;
/** Reads a batch back; damaged or oversized input is an error. */
[[nodiscard]] auto decode_run_batch(std::string_view bytes) -> result<run_batch>;

/** Returns \p results as bytes. */
[[nodiscard]] auto encode_run_results(const std::vector<run_result>& results) -> std::string;
/** Reads results back; damaged or oversized input is an error. */
[[nodiscard]] auto decode_run_results(std::string_view bytes) -> result<std::vector<run_result>>;

} // namespace sycamorewinch
