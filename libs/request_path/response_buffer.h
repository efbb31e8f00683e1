/** \file
 * Buffers a short response until it is complete, so that the call can be retried if the response
 * breaks off.
 *
 * Longer responses are streamed to the caller, and a call cannot be retried once its response has
 * begun.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http1/http1_server_connection.h"

namespace sycamorewinch {

/** Holds the response of one attempt, or none. */
class response_buffer {
  public:
    /** Returns whether a response with \p head is short enough to be buffered. */
    [[nodiscard]] static auto fits(const message_head& head) -> bool;

    void begin(message_head head) { head_ = std::move(head); }
    [[nodiscard]] auto has_response() const -> bool { return head_.has_value(); }
    void append(std::string_view bytes) { body_ += bytes; }
    /** Discards the incomplete response of an attempt that broke off. */
    void discard();
    /** Returns the number of body bytes buffered. */
    [[nodiscard]] auto size() const -> std::size_t { return body_.size(); }
    /** Writes the response, if any, to \p caller; does not finish it. */
    void send(http1_server_connection& caller);

  private:
    std::optional<message_head> head_;
    std::string body_;
};

} // namespace sycamorewinch
