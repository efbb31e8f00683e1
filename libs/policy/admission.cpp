#include "policy/admission.h"

#include <utility>

#include "base/digest.h"

namespace sycamorewinch {

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
    if (from_ != nullptr) {
        --from_->in_flight_;
    }
    if (caller_count_ != nullptr) {
        --*caller_count_;
    }
}

auto admission::find_cell(std::string_view caller) -> caller_cell&
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

auto admission::admit(std::string_view caller, const limit_share& share, instant now)
    -> admission_result
{
    if (draining_) {
        return {{}, refusal_reason::target_draining};
    }
    if (!share.grants_) {
        return {{}, refusal_reason::concurrency_limited};
    }
    if (in_flight_.fetch_add(1) >= slots_) {
        --in_flight_;
        return {{}, refusal_reason::target_full};
    }
    admission_ticket ticket(this, nullptr);
    auto& cell = find_cell(caller);
    if (share.concurrency_ > 0) {
        if (cell.in_flight_.fetch_add(1) >= share.concurrency_) {
            --cell.in_flight_;
            return {{}, refusal_reason::concurrency_limited};
        }
        ticket = admission_ticket(this, &cell.in_flight_);
        ++in_flight_; // the ticket that was replaced gives one back
    }
    if (share.requests_per_second_ > 0 &&
        !cell.rate_.admit(share.requests_per_second_, share.burst_, now)) {
        return {{}, refusal_reason::rate_limited};
    }
    return {std::move(ticket), std::nullopt};
}

} // namespace sycamorewinch
