#include "policy/admission_controller.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace sycamorewinch {

namespace {

constexpr std::int64_t period_us = 1'000'000;

} // namespace

admission_ticket::admission_ticket(admission_ticket&& other) noexcept
    : from_(std::exchange(other.from_, nullptr)),
      caller_count_(std::exchange(other.caller_count_, nullptr))
{
}

auto admission_ticket::operator=(admission_ticket&& other) noexcept -> admission_ticket&
{
    std::swap(from_, other.from_);
    std::swap(caller_count_, other.caller_count_);
    return *this;
}

admission_ticket::~admission_ticket()
{
    if (from_ == nullptr) {
        return;
    }
    --from_->in_flight_;
    --*caller_count_;
}

auto admission_controller::find_cell(std::string_view caller) -> caller_cell&
{
    const auto key = hash_of(caller) | 1U; // 0 marks a free cell
    for (std::size_t step = 0; step < cell_count; ++step) {
        auto& cell = cells_.at((key + step) % cell_count);
        std::uint64_t expected = 0;
        if (cell.key_ == key || cell.key_.compare_exchange_strong(expected, key) ||
            expected == key) {
            return cell;
        }
    }
    return cells_.at(key % cell_count); // more callers than cells: they share
}

auto admission_controller::take(caller_cell& cell) -> admission_ticket
{
    ++cell.in_flight_;
    ++in_flight_;
    return {*this, cell.in_flight_};
}

void admission_controller::note_caller(caller_cell& cell, instant now)
{
    const auto period = now.time_since_epoch().count() / period_us;
    auto current = period_.load();
    if (current < period && period_.compare_exchange_strong(current, period)) {
        callers_before_ = current + 1 == period ? callers_now_.exchange(0) : 0;
    }
    if (cell.last_period_.exchange(period) != period) {
        ++callers_now_;
    }
}

// An even part of the slots, rounded up. It binds only in the last quarter of them.
auto admission_controller::is_above_even_part(std::uint32_t held) const -> bool
{
    const auto slots = slots_.load();
    const auto callers = std::max({1U, callers_now_.load(), callers_before_.load()});
    const bool is_scarce = in_flight_ > slots - slots / 4;
    return is_scarce && callers > 1 && held > (slots + callers - 1) / callers;
}

auto admission_controller::admit(std::string_view caller, const limit_share& share, instant now)
    -> admission_result
{
    if (draining_) {
        return {{}, refusal_reason::target_draining};
    }
    if (!share.grants_) {
        return {{}, refusal_reason::concurrency_limited};
    }
    auto& cell = find_cell(caller);
    note_caller(cell, now);
    auto ticket = take(cell); // gives all back if the request is refused below
    if (in_flight_ > slots_) {
        return {{}, refusal_reason::target_full};
    }
    if (share.concurrency_ > 0 && cell.in_flight_ > share.concurrency_) {
        return {{}, refusal_reason::concurrency_limited};
    }
    if (!caller.empty() && is_above_even_part(cell.in_flight_)) {
        return {{}, refusal_reason::overloaded};
    }
    if (share.requests_per_second_ > 0 &&
        !cell.rate_.admit(share.requests_per_second_, share.burst_, now)) {
        return {{}, refusal_reason::rate_limited};
    }
    return {std::move(ticket), std::nullopt};
}

} // namespace sycamorewinch
