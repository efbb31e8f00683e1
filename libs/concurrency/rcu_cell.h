/** \file
 * A shared immutable value that many threads read without a lock while one replaces it
 * (read-copy-update, by liburcu).
 *
 * \code
 * rcu_cell<route_table> routes(first);
 * auto current = routes.read();   // any thread; stays valid however long it is kept
 * routes.publish(next);           // one atomic step for all readers
 * \endcode
 */
#pragma once

#include <atomic>
#include <memory>

namespace sycamorewinch {

namespace internal {

/** The type-erased cell. */
class rcu_slot {
  public:
    explicit rcu_slot(std::shared_ptr<const void> value);
    rcu_slot(const rcu_slot&) = delete;
    auto operator=(const rcu_slot&) -> rcu_slot& = delete;
    rcu_slot(rcu_slot&&) = delete;
    auto operator=(rcu_slot&&) -> rcu_slot& = delete;
    ~rcu_slot();

    [[nodiscard]] auto read() const -> std::shared_ptr<const void>;
    void publish(std::shared_ptr<const void> value);

  private:
    struct holder;
    std::atomic<holder*> current_;
};

} // namespace internal

/** Holds a value of type \p T that is replaced whole. */
template <typename T>
class rcu_cell {
  public:
    explicit rcu_cell(std::shared_ptr<const T> value) : slot_(std::move(value)) {}

    /** Returns the current value. Takes no lock. */
    [[nodiscard]] auto read() const -> std::shared_ptr<const T>
    {
        return std::static_pointer_cast<const T>(slot_.read());
    }

    /** Replaces the value, then waits until no reader is still picking up the old one. */
    void publish(std::shared_ptr<const T> value) { slot_.publish(std::move(value)); }

  private:
    internal::rcu_slot slot_;
};

} // namespace sycamorewinch
