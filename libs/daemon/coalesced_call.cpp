#include "daemon/coalesced_call.h"

namespace sycamorewinch {

coalesced_call::coalesced_call(std::chrono::milliseconds delay, std::function<void()> function)
    : delay_(delay), function_(std::move(function))
{
}

void coalesced_call::request()
{
    if (!timer_.is_active()) {
        timer_.start(delay_);
    }
}

void coalesced_call::run_now()
{
    timer_.stop();
    function_();
}

} // namespace sycamorewinch
