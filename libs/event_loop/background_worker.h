/** \file
 * Runs blocking work, such as writes to a disk, in a thread of its own, so that the event loop goes
 * on meanwhile.
 *
 * \code
 * background_worker worker;
 * worker.run([&] { store(entries); }, [&] { acknowledge(entries); });
 * \endcode
 */
#pragma once

#include <functional>
#include <memory>

#include <QObject>

class QThread;

namespace sycamorewinch {

/** One thread. Belongs to the thread of the event loop in which it is created. */
class background_worker {
  public:
    background_worker();
    background_worker(const background_worker&) = delete;
    auto operator=(const background_worker&) -> background_worker& = delete;
    background_worker(background_worker&&) = delete;
    auto operator=(background_worker&&) -> background_worker& = delete;
    /** Waits for the work that has begun, and drops the rest and all completions that are left. */
    ~background_worker();

    /** Runs \p work in the worker's thread, after all earlier work, and then \p done in the thread
     * of the event loop, in a later turn of it. */
    void run(std::function<void()> work, std::function<void()> done);

  private:
    std::unique_ptr<QThread> thread_;
    std::unique_ptr<QObject> worker_; ///< Lives in the worker's thread.
    QObject completions_;             ///< Lives in the thread of the event loop.
};

} // namespace sycamorewinch
