#include "event_loop/deadline_timer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sycamorewinch {

namespace {

/** QTimer counts milliseconds in an int; on_timeout() waits again for the rest of a longer delay.
 */
constexpr std::chrono::hours max_interval{24};

} // namespace

deadline_timer::deadline_timer(std::function<void()> on_expired, clock_hook clock)
    : on_expired_(std::move(on_expired)), clock_(std::move(clock))
{
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { on_timeout(); });
}

void deadline_timer::start_at(instant deadline)
{
    deadline_ = deadline;
    wait();
}

void deadline_timer::start(duration delay)
{
    start_at(clock_() + delay);
}

void deadline_timer::stop()
{
    timer_.stop();
}

void deadline_timer::wait()
{
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline_ - clock_());
    timer_.start(std::clamp(remaining, std::chrono::milliseconds(0),
                            std::chrono::milliseconds(max_interval)));
}

void deadline_timer::on_timeout()
{
    if (clock_() < deadline_) {
        wait();
        return;
    }
    const auto on_expired = on_expired_; // the function may destroy this timer
    on_expired();
}

} // namespace sycamorewinch
