#include "concurrency/rcu_cell.h"

#include <utility>

#include <urcu/urcu-memb.h>

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

} // namespace

struct rcu_slot::holder {
    std::shared_ptr<const void> value_;
};

rcu_slot::rcu_slot(std::shared_ptr<const void> value) : current_(new holder{std::move(value)}) {}

rcu_slot::~rcu_slot()
{
    delete current_;
}

auto rcu_slot::read() const -> std::shared_ptr<const void>
{
    register_this_thread();
    urcu_memb_read_lock();
    const auto* held = rcu_dereference(current_);
    auto value = held->value_;
    urcu_memb_read_unlock();
    return value;
}

void rcu_slot::publish(std::shared_ptr<const void> value)
{
    register_this_thread();
    auto* old = rcu_xchg_pointer(&current_, new holder{std::move(value)});
    urcu_memb_synchronize_rcu();
    delete old;
}

} // namespace sycamorewinch::internal
