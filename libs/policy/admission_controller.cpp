#include "policy/admission_controller.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace sycamorewinch {

namespace {

constexpr std::int64_t activity_period_us = 1'000'000;

} // namespace

admission_ticket::admission_ticket(admission_ticket&& other) noexcept
    : controller_(std::exchange(other.controller_, nullptr)),
      caller_count_(std::exchange(other.caller_count_, nullptr))
{
}

auto admission_ticket::operator=(admission_ticket&& other) noexcept -> admission_ticket&
{
    std::swap(controller_, other.controller_);
    std::swap(caller_count_, other.caller_count_);
    return *this;
}

admission_ticket::~admission_ticket()
{
    if (controller_ == nullptr) {
        return;
    }
    --controller_->in_flight_;
    --*caller_count_;
}

void admission_controller::begin_start()
{
    ++start_number_;
    leaving_ = false;
    stated_limit_.clear();
}

auto admission_controller::find_entry(std::string_view caller) -> caller_entry&
{
    const auto caller_hash = hash_of(caller) | 1U; // 0 marks a free entry
    for (std::size_t probe = 0; probe < entry_count; ++probe) {
        auto& entry = entries_.at((caller_hash + probe) % entry_count);
        std::uint64_t expected = 0;
        if (entry.caller_hash_ == caller_hash ||
            entry.caller_hash_.compare_exchange_strong(expected, caller_hash) ||
            expected == caller_hash) {
            return entry;
        }
    }
    return entries_.at(caller_hash % entry_count); // the table is full: callers share an entry
}

auto admission_controller::acquire_slot(caller_entry& entry) -> admission_ticket
{
    ++entry.in_flight_;
    ++in_flight_;
    return {*this, entry.in_flight_};
}

void admission_controller::count_active_caller(caller_entry& entry, instant now)
{
    const auto period = now.time_since_epoch().count() / activity_period_us;
    auto current = current_period_.load();
    if (current < period && current_period_.compare_exchange_strong(current, period)) {
        previous_active_callers_ = current + 1 == period ? active_callers_.exchange(0) : 0;
    }
    if (entry.last_active_period_.exchange(period) != period) {
        ++active_callers_;
    }
}

// The fair share is the slots divided by the active callers, rounded up. It is enforced only while
// more than three quarters of the slots are in use.
auto admission_controller::exceeds_fair_share(std::uint32_t held) const -> bool
{
    const auto slots = slots_.load();
    const auto callers = std::max({1U, active_callers_.load(), previous_active_callers_.load()});
    const bool is_scarce = in_flight_ > slots - slots / 4;
    return is_scarce && callers > 1 && held > (slots + callers - 1) / callers;
}

auto admission_controller::admit(std::string_view caller, const limit_share& share, instant now)
    -> admission_result
{
    if (draining_ || leaving_) {
        return {{}, refusal_reason::target_draining};
    }
    if (!share.admits_calls_) {
        return {{}, refusal_reason::concurrency_limited};
    }
    auto& entry = find_entry(caller);
    count_active_caller(entry, now);
    auto ticket = acquire_slot(entry); // released if the request is refused below
    if (in_flight_ > slots_) {
        return {{}, refusal_reason::target_full};
    }
    if (share.concurrency_ > 0 && entry.in_flight_ > share.concurrency_) {
        return {{}, refusal_reason::concurrency_limited};
    }
    if (!caller.empty() && exceeds_fair_share(entry.in_flight_)) {
        return {{}, refusal_reason::overloaded};
    }
    // Checked before the caller's rate, which counts the requests that it admits.
    if (stated_limit_.delay(0, now) > duration(0)) {
        return {{}, refusal_reason::target_rate_limited};
    }
    if (share.requests_per_second_ > 0 &&
        !entry.rate_.admit(share.requests_per_second_, share.burst_, now)) {
        return {{}, refusal_reason::rate_limited};
    }
    if (!stated_limit_.admit(now)) { // another thread was first
        return {{}, refusal_reason::target_rate_limited};
    }
    return {std::move(ticket), std::nullopt};
}

} // namespace sycamorewinch
