#include "daemon/coalesced_call.h"

namespace sycamorewinch {

coalesced_call::coalesced_call(std::chrono::milliseconds delay, std::function<void()> function)
    : function_(std::move(function))
{
    timer_.setSingleShot(true);
    timer_.setInterval(delay);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { function_(); });
}

void coalesced_call::request()
{
    if (!timer_.isActive()) {
        timer_.start();
    }
}

void coalesced_call::run_now()
{
    timer_.stop();
    function_();
}

} // namespace sycamorewinch
