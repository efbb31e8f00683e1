#include "concurrency/rcu_cell.h"

#include <utility>

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace sycamorewinch::internal {

namespace {

/** Registers the current thread with liburcu until the thread ends. */
struct reader_registration {
    reader_registration() { urcu_memb_register_thread(); }
    reader_registration(const reader_registration&) = delete;
    auto operator=(const reader_registration&) -> reader_registration& = delete;
    reader_registration(reader_registration&&) = delete;
    auto operator=(reader_registration&&) -> reader_registration& = delete;
    ~reader_registration() { urcu_memb_unregister_thread(); }
};

void register_this_thread()
{
    static thread_local const reader_registration registration;
}

// ThreadSanitizer does not see the memory barriers of liburcu. In its builds these two functions
// declare the guarantee of a grace period: everything that readers did in their read-side critical
// sections happens before the end of the grace period.

void annotate_reader_exit([[maybe_unused]] const void* slot)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(const_cast<void*>(slot));
#endif
}

void annotate_grace_period_end([[maybe_unused]] const void* slot)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(const_cast<void*>(slot));
#endif
}

} // namespace

struct rcu_slot::holder {
    std::shared_ptr<const void> value_;
};

rcu_slot::rcu_slot(std::shared_ptr<const void> value) : current_(new holder{std::move(value)}) {}

rcu_slot::~rcu_slot()
{
    delete current_.load(std::memory_order_acquire);
}

auto rcu_slot::read() const -> std::shared_ptr<const void>
{
    register_this_thread();
    urcu_memb_read_lock();
    const auto* current = current_.load(std::memory_order_acquire);
    auto value = current->value_;
    annotate_reader_exit(this);
    urcu_memb_read_unlock();
    return value;
}

void rcu_slot::publish(std::shared_ptr<const void> value)
{
    register_this_thread();
    auto* old = current_.exchange(new holder{std::move(value)}, std::memory_order_acq_rel);
    urcu_memb_synchronize_rcu();
    annotate_grace_period_end(this);
    delete old;
}

} // namespace sycamorewinch::internal
