/** \file
 * Access from a worker thread to the record of unrepeatable requests, which only the main thread
 * can reach. Only values cross between threads: callbacks stay in the worker thread that created
 * them.
 */
#pragma once

#include <functional>
#include <map>

#include <QObject>

#include "run_record/run_client.h"

namespace sycamorewinch {

/** Operations on the record that the main thread provides. Safe from any thread. */
struct run_record_hooks {
    /** Asks for a reservation; \p reply is called on the main thread. */
    std::function<void(run_operation operation, reservation_callback reply)> reserve_;
    /** Reports the end of a granted attempt. */
    std::function<void(run_operation operation)> end_;
};

/** One worker's access to the record. Created, used and destroyed in the worker's thread. */
class worker_run_client {
  public:
    /** Asks whether the attempt of \p operation may run. \p callback is called with the result in
     * the calling thread. */
    void reserve(const run_record_hooks& hooks, const run_operation& operation,
                 reservation_callback callback);

    /** Returns a random id for a new attempt. */
    [[nodiscard]] auto make_attempt_id() const -> digest { return random_attempt_id(random_); }

    /** Drops the callback of \p attempt; a grant that arrives later is released. */
    void forget(const digest& attempt) { pending_callbacks_.erase(attempt); }

  private:
    void on_result(const run_record_hooks& hooks, run_operation operation,
                   const run_result& result);

    std::map<digest, reservation_callback> pending_callbacks_; ///< By attempt id.
    random_hook random_ = system_random();
    QObject context_;
};

} // namespace sycamorewinch
