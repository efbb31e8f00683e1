#include "request_path/waiting_line.h"

#include <algorithm>
#include <utility>

namespace sycamorewinch {

namespace {

/** One part in so many of the average is the latest value. */
constexpr std::int64_t average_over = 16;
/** A target serves few rows; more are left over from earlier tables. */
constexpr std::size_t max_rows = 256;
/** While there is a choice, a request waits for this part of its time at most. */
constexpr int part_with_choice = 3;
/** Without a choice it waits for this part at least, though its answer may then be late. */
constexpr int part_at_last = 8;

} // namespace

auto longest_wait(duration time_in_aim, duration service_time, bool is_last_choice) -> duration
{
    const auto in_time = std::max(time_in_aim - service_time * 5 / 4, duration(0));
    return is_last_choice ? std::max(in_time, time_in_aim / part_at_last)
                          : std::min(in_time, time_in_aim / part_with_choice);
}

auto waiting_line::expected_wait(const line_rank& rank, std::uint32_t slots) const -> duration
{
    const auto before = std::ranges::count_if(
        waiting_, [&rank](const auto& one) { return one.first.rank_ <= rank; });
    return service_time_ * (before + 1) / std::max<std::uint32_t>(slots, 1);
}

auto waiting_line::join(const line_rank& rank, start_hook start) -> line_place
{
    const line_place place{rank, next_arrival_++};
    waiting_.emplace(place, std::move(start));
    return place;
}

void waiting_line::on_slot_free()
{
    if (std::exchange(is_serving_, true)) {
        return; // a request that ended at once while another was being started
    }
    while (!waiting_.empty()) {
        const auto front = waiting_.begin();
        const auto place = front->first;
        const auto start = front->second;
        if (!start()) {
            break;
        }
        waiting_.erase(place);
    }
    is_serving_ = false;
}

void waiting_line::note_service_time(const std::string& row, duration taken)
{
    if (service_times_.size() >= max_rows && !service_times_.contains(row)) {
        service_times_.clear(); // most are of rows that are gone
    }
    for (auto* average : {&service_time_, &service_times_[row]}) {
        *average = *average == duration(0) ? taken : *average + (taken - *average) / average_over;
    }
}

auto waiting_line::service_time(const std::string& row) const -> duration
{
    const auto found = service_times_.find(row);
    return found == service_times_.end() ? duration(0) : found->second;
}

} // namespace sycamorewinch
