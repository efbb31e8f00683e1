/** \file
 * A shared immutable value that many threads read without a lock while another thread replaces it
 * (read-copy-update with liburcu).
 *
 * \code
 * rcu_cell<route_table> routes(first);
 * auto current = routes.read();   // from any thread; valid as long as the pointer is held
 * routes.publish(next);           // atomic for all readers
 * \endcode
 */
#pragma once

#include <atomic>
#include <memory>

namespace sycamorewinch {

namespace internal {

/** The type-erased part of rcu_cell, so that liburcu stays out of this header. */
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

/** Holds an immutable value of type \p T that is replaced as a whole. */
template <typename T>
class rcu_cell {
  public:
    explicit rcu_cell(std::shared_ptr<const T> value) : slot_(std::move(value)) {}

    /** Returns the current value. Takes no lock; thread-safe. */
    [[nodiscard]] auto read() const -> std::shared_ptr<const T>
    {
        return std::static_pointer_cast<const T>(slot_.read());
    }

    /** Replaces the value, then blocks for a grace period: until no `read` that may have loaded the
     * old value is still in progress. Values already returned by `read` stay valid. */
    void publish(std::shared_ptr<const T> value) { slot_.publish(std::move(value)); }

  private:
    internal::rcu_slot slot_;
};

} // namespace sycamorewinch
