/** \file
 * One attempt to run an unrepeatable request: its reservation, and the outcome that is stored.
 *
 * Once granted, exactly one of finish(), lose() and release() is reported, whichever way the
 * exchange ends; one that is destroyed before it ended counts as lost.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "request_path/exchange.h"
#include "request_path/run_gateway.h"

namespace sycamorewinch {

/** The header of a caller's idempotency key. */
constexpr std::string_view idempotency_key_header = "idempotency-key";
/** Marks an answer that was stored when the request ran. */
constexpr std::string_view replayed_header = "sycamorewinch-replayed";

/** A whole stored answer. */
struct stored_answer {
    message_head head_;
    std::string body_;
};

/** Returns \p answer as bytes, or nothing when it is too large to be kept. */
[[nodiscard]] auto encode_answer(const stored_answer& answer) -> std::string;
/** Reads an answer back. */
[[nodiscard]] auto decode_answer(std::string_view bytes) -> result<stored_answer>;

/** Returns why a call is refused on \p verdict, or nothing when it is not. */
[[nodiscard]] auto refusal_of(run_verdict verdict) -> std::optional<refusal_reason>;

/** One attempt. */
class unrepeatable_run {
  public:
    /** Prepares an attempt at \p request, which carries an idempotency key. */
    unrepeatable_run(const run_record_hooks& port, run_gateway& gateway,
                     const exchange_request& request);
    unrepeatable_run(const unrepeatable_run&) = delete;
    auto operator=(const unrepeatable_run&) -> unrepeatable_run& = delete;
    unrepeatable_run(unrepeatable_run&&) = delete;
    auto operator=(unrepeatable_run&&) -> unrepeatable_run& = delete;
    ~unrepeatable_run();

    /** Asks for the reservation. */
    void reserve(const std::function<void(const run_result& result)>& callback);

    /** The target's answer, as it comes. */
    void on_response(const message_head& head);
    void on_body(std::string_view bytes);

    /** The answer is whole: stores it. */
    void finish();
    /** The target may have run the request; there is no whole answer. */
    void lose() { end(run_operation_kind::lose); }
    /** No byte reached the target, and none will. */
    void release() { end(run_operation_kind::release); }

  private:
    void end(run_operation_kind kind);

    const run_record_hooks& port_;
    run_gateway& gateway_;
    run_operation operation_;
    stored_answer answer_;
    bool too_large_ = false;
    bool granted_ = false;
};

} // namespace sycamorewinch
