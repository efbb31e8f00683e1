#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace sycamorewinch::internal {

namespace {

auto broken_invariant_handler() -> std::function<void(const std::string&)>&
{
    static std::function<void(const std::string&)> handler;
    return handler;
}

} // namespace

void set_broken_invariant_handler(std::function<void(const std::string& message)> handler)
{
    broken_invariant_handler() = std::move(handler);
}

void stop_on_broken_invariant(const std::string& message)
{
    if (broken_invariant_handler()) {
        broken_invariant_handler()(message);
    }
    fmt::print(stderr, "internal error: {}\n", message);
    std::fflush(stderr);
    std::abort();
}

} // namespace sycamorewinch::internal
