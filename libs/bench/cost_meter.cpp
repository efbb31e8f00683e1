#include "bench/cost_meter.h"

#include <ctime>

#include <malloc.h>

namespace sycamorewinch {

auto thread_cpu_seconds() -> double
{
    constexpr double seconds_per_nanosecond = 1e-9;
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * seconds_per_nanosecond;
}

auto heap_bytes() -> std::uint64_t
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

auto cpu_seconds_of(const std::function<void()>& work) -> double
{
    const auto before = thread_cpu_seconds();
    work();
    return thread_cpu_seconds() - before;
}

} // namespace sycamorewinch
