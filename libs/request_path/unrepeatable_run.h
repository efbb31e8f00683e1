/** \file
 * One attempt to run an unrepeatable request with an idempotency key: its reservation, and the
 * response that is stored under the key.
 *
 * Once the reservation is granted, exactly one of finish(), lose() and release() is reported to the
 * record, however the exchange ends. An attempt that is destroyed before that is reported as lost.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "request_path/exchange.h"
#include "request_path/worker_run_client.h"

namespace sycamorewinch {

/** The header field of a caller's idempotency key. */
constexpr std::string_view idempotency_key_header = "idempotency-key";
/** Marks a response that is a stored copy of the one given when the request ran. */
constexpr std::string_view replayed_header = "sycamorewinch-replayed";

/** A complete response as it is stored. */
struct stored_response {
    message_head head_;
    std::string body_;
};

/** Returns \p response as CBOR, or an empty string if that is larger than max_outcome_bytes. */
[[nodiscard]] auto encode_response(const stored_response& response) -> std::string;
/** Reads a stored response; returns an error if \p bytes are malformed. */
[[nodiscard]] auto decode_response(std::string_view bytes) -> result<stored_response>;

/** Returns the reason to refuse a call on \p verdict, or nothing if the call is not refused. */
[[nodiscard]] auto refusal_reason_for(run_verdict verdict) -> std::optional<refusal_reason>;

/** One attempt. For one thread. */
class unrepeatable_run {
  public:
    /** Prepares an attempt at \p request, which carries an idempotency key. */
    unrepeatable_run(const run_record_hooks& hooks, worker_run_client& client,
                     const exchange_request& request);
    unrepeatable_run(const unrepeatable_run&) = delete;
    auto operator=(const unrepeatable_run&) -> unrepeatable_run& = delete;
    unrepeatable_run(unrepeatable_run&&) = delete;
    auto operator=(unrepeatable_run&&) -> unrepeatable_run& = delete;
    ~unrepeatable_run();

    /** Requests the reservation; \p callback is called with the result unless this object is
     * destroyed first. */
    void reserve(const std::function<void(const run_result& result)>& callback);

    /** Record the target's response as it arrives. */
    void on_response(const message_head& head);
    void on_body(std::string_view bytes);

    /** The response is complete: stores it. */
    void finish();
    /** The target may have run the request, but there is no complete response: reports the outcome
     * as unknown. */
    void lose() { end(run_operation_kind::lose); }
    /** The request has not run and will not: frees the key for another attempt. */
    void release() { end(run_operation_kind::release); }

  private:
    void end(run_operation_kind kind);

    const run_record_hooks& hooks_;
    worker_run_client& client_;
    run_operation operation_;
    stored_response response_;
    bool too_large_ = false; ///< The body exceeds max_outcome_bytes.
    bool granted_ = false;   ///< The reservation is granted and its end not yet reported.
};

} // namespace sycamorewinch
