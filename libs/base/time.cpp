#include "base/time.h"

namespace sycamorewinch {

auto monotonic_now() -> instant
{
    const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(since_epoch));
}

} // namespace sycamorewinch
