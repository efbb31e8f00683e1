/** \file
 * A short answer that is held until it is whole, so that one that breaks off can be tried for
 * again.
 *
 * A longer answer is passed on as it comes, and cannot be tried for again once it has begun.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http1/http1_server_connection.h"

namespace sycamorewinch {

/** The answer of one attempt, or none. */
class held_answer {
  public:
    /** Returns whether an answer with \p head is short enough to be held. */
    [[nodiscard]] static auto is_short(const message_head& head) -> bool;

    void begin(message_head head) { head_ = std::move(head); }
    [[nodiscard]] auto is_begun() const -> bool { return head_.has_value(); }
    void add(std::string_view bytes) { body_ += bytes; }
    /** Forgets the answer of an attempt that broke off. */
    void drop();
    /** Gives the answer to the caller, without ending it. */
    void send(http1_server_connection& caller);

  private:
    std::optional<message_head> head_;
    std::string body_;
};

} // namespace sycamorewinch
