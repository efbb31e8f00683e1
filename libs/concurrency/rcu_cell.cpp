#include "concurrency/rcu_cell.h"

#include <utility>

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace sycamorewinch::internal {

namespace {

/** Registers the thread with liburcu for as long as the thread lives. */
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

// The thread sanitizer does not see the barriers of liburcu. These two tell it, in its builds
// alone, what a grace period means: all that readers did before they left happens before its end.

void tell_sanitizer_reader_left([[maybe_unused]] const void* slot)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(const_cast<void*>(slot));
#endif
}

void tell_sanitizer_readers_are_gone([[maybe_unused]] const void* slot)
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
    const auto* held = current_.load(std::memory_order_acquire);
    auto value = held->value_;
    tell_sanitizer_reader_left(this);
    urcu_memb_read_unlock();
    return value;
}

void rcu_slot::publish(std::shared_ptr<const void> value)
{
    register_this_thread();
    auto* old = current_.exchange(new holder{std::move(value)}, std::memory_order_acq_rel);
    urcu_memb_synchronize_rcu();
    tell_sanitizer_readers_are_gone(this);
    delete old;
}

} // namespace sycamorewinch::internal
