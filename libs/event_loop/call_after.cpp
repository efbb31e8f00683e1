#include "event_loop/call_after.h"

#include <memory>
#include <utility>

#include "event_loop/deadline_timer.h"

namespace sycamorewinch {

namespace {

/** A pending call, which its context owns. */
class pending_call : public QObject {
  public:
    pending_call(duration delay, QObject& context, std::function<void()> function)
        : QObject(&context), function_(std::move(function))
    {
        timer_.start(delay);
    }

  private:
    void run()
    {
        const auto function = std::move(function_);
        deleteLater();
        function(); // may destroy the context and thereby this object
    }

    std::function<void()> function_;
    deadline_timer timer_{[this] {
        run();
    }};
};

} // namespace

void call_after(duration delay, QObject& context, std::function<void()> function)
{
    auto call = std::make_unique<pending_call>(delay, context, std::move(function));
    static_cast<void>(call.release()); // its context owns it
}

} // namespace sycamorewinch
