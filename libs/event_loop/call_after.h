/** \file
 * Calls a function once after a delay, and never before it has passed.
 *
 * Replaces QTimer::singleShot(), which may call up to 5 % early from a delay of 2 s on. A call that
 * may have to be stopped needs a deadline_timer.
 *
 * \code
 * call_after(redial_delay, context_, [this] { dial(); });
 * \endcode
 */
#pragma once

#include <functional>

#include <QObject>

#include "base/time.h"

namespace sycamorewinch {

/** Calls \p function from the event loop once \p delay has passed, unless \p context is destroyed
 * before. To be called in the thread of \p context. */
void call_after(duration delay, QObject& context, std::function<void()> function);

} // namespace sycamorewinch
