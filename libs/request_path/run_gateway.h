/** \file
 * The way from a worker thread to the record of unrepeatable requests, which the main thread
 * reaches. Only values cross between threads: callbacks stay in the worker that made them.
 */
#pragma once

#include <functional>
#include <map>

#include <QObject>

#include "run_record/run_client.h"

namespace sycamorewinch {

/** What the main thread offers. Safe from any thread. */
struct run_record_hooks {
    /** Asks for a reservation; \p reply is called on the main thread. */
    std::function<void(run_operation operation, run_callback reply)> reserve_;
    /** Reports the end of a granted attempt. */
    std::function<void(run_operation operation)> end_;
};

/** One worker's side. Made, used and destroyed in its thread. */
class run_gateway {
  public:
    /** Asks whether \p operation's attempt may run. \p callback hears of it in this thread. */
    void reserve(const run_record_hooks& port, const run_operation& operation,
                 run_callback callback);

    /** Returns the number of a new attempt. */
    [[nodiscard]] auto next_attempt() const -> digest { return new_attempt(random_); }

    /** Forgets the callback of \p attempt; a grant that comes later is released. */
    void forget(const digest& attempt) { waiting_.erase(attempt); }

  private:
    void on_result(const run_record_hooks& port, run_operation operation, const run_result& result);

    std::map<digest, run_callback> waiting_; ///< By attempt.
    random_hook random_ = system_random();
    QObject context_;
};

} // namespace sycamorewinch
