#include "policy/slot_reservation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamorewinch {

namespace {

/** Slots are reserved against requests that take at least this many times as long. Rows of similar
 * length compete on equal terms: neither would gain from slots that the other leaves unused. */
constexpr int min_length_ratio = 3;
/** At most 1/max_reserved_divisor of the slots are reserved: short calls may belong to requests
 * that are less urgent than the long ones. */
constexpr std::uint32_t max_reserved_divisor = 2;
/** Above this number of rows, those without recent requests are dropped. A target serves few rows;
 * the others belong to earlier tables. */
constexpr std::size_t max_rows = 64;
/** A row with a smaller demand has no recent requests. */
constexpr double min_slots_needed = 0.001;

auto to_microseconds(duration value) -> double
{
    return static_cast<double>(value.count());
}

} // namespace

auto slot_reservation::row_demand::slots_needed_at(instant now) const -> double
{
    const auto elapsed = to_microseconds(now - last_arrival_);
    return slots_needed_ * std::exp(-elapsed / to_microseconds(averaging_time));
}

void slot_reservation::on_arrival(const std::string& row, std::uint32_t priority,
                                  duration service_time, instant now)
{
    if (rows_.size() >= max_rows && !rows_.contains(row)) {
        remove_unused_rows(now);
    }
    auto& demand = rows_[row];
    demand.slots_needed_ = demand.slots_needed_at(now) +
                           to_microseconds(service_time) / to_microseconds(averaging_time);
    demand.last_arrival_ = now;
    demand.priority_ = priority;
    demand.service_time_ = service_time;
}

auto slot_reservation::admits(const std::string& row, std::uint32_t slots, instant now) const
    -> bool
{
    const auto found = rows_.find(row);
    if (found == rows_.end()) {
        return true;
    }
    const auto& own = found->second;
    double slots_needed = 0;
    std::uint32_t running = 0; // of the requests that may not use the reserved slots
    for (const auto& [name, other] : rows_) {
        const bool is_reserved_for = other.priority_ <= own.priority_ &&
                                     other.service_time_ * min_length_ratio <= own.service_time_;
        if (is_reserved_for) {
            slots_needed += other.slots_needed_at(now);
        }
        else {
            running += other.running_;
        }
    }
    const auto reserved = std::min(static_cast<std::uint32_t>(std::lround(slots_needed)),
                                   slots / max_reserved_divisor);
    return reserved == 0 || running + reserved < slots;
}

void slot_reservation::on_ended(const std::string& row)
{
    const auto found = rows_.find(row);
    if (found != rows_.end() && found->second.running_ > 0) {
        --found->second.running_;
    }
}

slot_use::slot_use(std::shared_ptr<slot_reservation> reservation, std::string row)
    : reservation_(std::move(reservation)), row_(std::move(row))
{
    reservation_->on_started(row_);
}

slot_use::slot_use(slot_use&& other) noexcept
    : reservation_(std::move(other.reservation_)), row_(std::move(other.row_))
{
}

auto slot_use::operator=(slot_use&& other) noexcept -> slot_use&
{
    std::swap(reservation_, other.reservation_);
    std::swap(row_, other.row_);
    return *this;
}

slot_use::~slot_use()
{
    if (reservation_) {
        reservation_->on_ended(row_);
    }
}

void slot_reservation::remove_unused_rows(instant now)
{
    std::erase_if(rows_, [now](const auto& entry) {
        const auto& demand = entry.second;
        return demand.running_ == 0 && demand.slots_needed_at(now) < min_slots_needed;
    });
}

} // namespace sycamorewinch
