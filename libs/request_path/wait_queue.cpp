#include "request_path/wait_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace sycamorewinch {

namespace {

/** The latest value contributes 1/smoothing_divisor to a moving average. */
constexpr std::int64_t smoothing_divisor = 16;
/** Limit of the rows with a recorded service time. A target serves few rows; beyond this number,
 * most entries belong to rows of earlier tables. */
constexpr std::size_t max_rows = 256;
/** While other targets are left to try, a request waits for at most 1/wait_divisor_with_choice of
 * its latency budget. */
constexpr int wait_divisor_with_choice = 3;
/** If no other target is left to try, a request may wait for at least 1/wait_divisor_at_last_choice
 * of its latency budget, even if its response then misses the target latency. */
constexpr int wait_divisor_at_last_choice = 8;

} // namespace

auto max_wait(duration latency_budget, duration service_time, bool is_last_choice) -> duration
{
    const auto wait_within_budget = std::max(latency_budget - service_time * 5 / 4, duration(0));
    return is_last_choice
               ? std::max(wait_within_budget, latency_budget / wait_divisor_at_last_choice)
               : std::min(wait_within_budget, latency_budget / wait_divisor_with_choice);
}

auto max_wait_before_deadline(duration time_left, duration service_time, duration refusal_delay)
    -> duration
{
    return std::max(time_left - service_time - refusal_delay, duration(0));
}

auto make_queue_rank(std::uint32_t priority, duration latency_budget, duration service_time,
                     instant now) -> queue_rank
{
    const auto microseconds =
        static_cast<std::uint64_t>(std::max(service_time, duration(0)).count());
    const auto length_class = static_cast<std::uint32_t>(std::bit_width(microseconds));
    const bool is_late = latency_budget <= service_time;
    return {priority, length_class, is_late,
            is_late ? instant() : now + latency_budget - service_time};
}

auto wait_queue::expected_wait(const queue_rank& rank, std::uint32_t slots) const -> duration
{
    auto work_ahead = service_time_; // of a running request
    for (const auto& [position, request] : waiting_) {
        if (position.rank_ > rank) {
            break;
        }
        work_ahead += request.service_time_;
    }
    return work_ahead / std::max<std::uint32_t>(slots, 1);
}

auto wait_queue::requests_ahead(const queue_rank& rank) const -> std::size_t
{
    const auto is_ahead = [&rank](const auto& waiting) {
        return waiting.first.rank_ <= rank;
    };
    return static_cast<std::size_t>(std::ranges::count_if(waiting_, is_ahead));
}

auto wait_queue::enqueue(const queue_rank& rank, duration service_time, start_hook start)
    -> queue_position
{
    const queue_position position{rank, next_arrival_++};
    const auto expected = service_time > duration(0) ? service_time : service_time_;
    waiting_.emplace(position, waiting_request{expected, std::move(start)});
    return position;
}

void wait_queue::start_waiting()
{
    if (std::exchange(is_starting_, true)) {
        return; // re-entered: a request ended while it was being started
    }
    while (!waiting_.empty()) {
        const auto front = waiting_.begin();
        const auto position = front->first;
        const auto start = front->second.start_;
        if (!start()) {
            break;
        }
        waiting_.erase(position);
    }
    is_starting_ = false;
}

void wait_queue::record_service_time(const std::string& row, duration elapsed)
{
    if (row_service_times_.size() >= max_rows && !row_service_times_.contains(row)) {
        row_service_times_.clear(); // most belong to rows that no longer exist
    }
    for (auto* average : {&service_time_, &row_service_times_[row]}) {
        *average =
            *average == duration(0) ? elapsed : *average + (elapsed - *average) / smoothing_divisor;
    }
}

auto wait_queue::service_time(const std::string& row) const -> duration
{
    const auto found = row_service_times_.find(row);
    return found == row_service_times_.end() ? duration(0) : found->second;
}

} // namespace sycamorewinch
