#include "request_path/response_buffer.h"

#include <cstdint>
#include <utility>

namespace sycamorewinch {

namespace {

/** Longest body that is buffered; longer ones are streamed. */
constexpr std::size_t max_buffered_bytes = 64U * 1024;

} // namespace

auto response_buffer::fits(const message_head& head) -> bool
{
    return !head.has_body_ || head.content_length_.value_or(UINT64_MAX) <= max_buffered_bytes;
}

void response_buffer::discard()
{
    head_.reset();
    body_.clear();
}

void response_buffer::send(http1_server_connection& caller)
{
    if (auto head = std::exchange(head_, std::nullopt)) {
        caller.respond(std::move(*head));
        caller.write(body_);
    }
}

} // namespace sycamorewinch
