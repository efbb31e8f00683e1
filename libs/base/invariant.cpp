#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace sycamorewinch::internal {

void stop_on_broken_invariant(const std::string& message)
{
    fmt::print(stderr, "internal error: {}\n", message);
    std::fflush(stderr);
    std::abort();
}

} // namespace sycamorewinch::internal
