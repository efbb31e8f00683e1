#include "base/time.h"

#include <ctime>

#include "base/invariant.h"

namespace sycamorewinch {

// CLOCK_MONOTONIC stands still while the machine is suspended. A process would then go on with a
// lease or a proof of currency that ran out meanwhile.
auto monotonic_now() -> instant
{
    timespec now{};
    const auto status = clock_gettime(CLOCK_BOOTTIME, &now);
    invariant(status == 0, "clock_gettime() failed");
    const auto since_boot =
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return instant(std::chrono::duration_cast<duration>(since_boot));
}

} // namespace sycamorewinch
