#include "request_path/held_answer.h"

#include <cstdint>
#include <utility>

namespace sycamorewinch {

namespace {

constexpr std::size_t max_held_bytes = 64U * 1024;

} // namespace

auto held_answer::is_short(const message_head& head) -> bool
{
    return !head.has_body_ || head.content_length_.value_or(UINT64_MAX) <= max_held_bytes;
}

void held_answer::drop()
{
    head_.reset();
    body_.clear();
}

void held_answer::send(http1_server_connection& caller)
{
    if (auto head = std::exchange(head_, std::nullopt)) {
        caller.respond(std::move(*head));
        caller.write(body_);
    }
}

} // namespace sycamorewinch
