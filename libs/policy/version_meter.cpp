#include "policy/version_meter.h"

#include "base/digest.h"

namespace sycamorewinch {

void version_meter::record(std::string_view row, version_result result)
{
    auto& counts = counts_of(row);
    // A concurrent take_samples() may report a failure one report later than its response.
    counts.responses_.fetch_add(1, std::memory_order_relaxed);
    if (result.is_failure_) {
        counts.failures_.fetch_add(1, std::memory_order_relaxed);
    }
    if (result.is_slow_) {
        counts.slow_.fetch_add(1, std::memory_order_relaxed);
    }
}

auto version_meter::counts_of(std::string_view row) -> row_counts&
{
    const auto find = [row](row_counts* counts) {
        while (counts != nullptr && counts->row_ != row) {
            counts = counts->next_;
        }
        return counts;
    };
    auto& head = heads_.at(hash_of(row) % buckets);
    if (auto* found = find(head.load(std::memory_order_acquire))) {
        return *found;
    }
    const std::lock_guard guard(mutex_);
    auto* first = head.load(std::memory_order_relaxed);
    if (auto* found = find(first)) {
        return *found;
    }
    auto& added = rows_.emplace_back();
    added.row_ = row;
    added.next_ = first;
    head.store(&added, std::memory_order_release);
    return added;
}

auto version_meter::take_samples() -> std::vector<version_sample>
{
    const std::lock_guard guard(mutex_);
    std::vector<version_sample> samples;
    for (auto& counts : rows_) {
        version_sample sample;
        sample.row_ = counts.row_;
        sample.responses_ = counts.responses_.exchange(0, std::memory_order_relaxed);
        sample.failures_ = counts.failures_.exchange(0, std::memory_order_relaxed);
        sample.slow_ = counts.slow_.exchange(0, std::memory_order_relaxed);
        if (sample.responses_ + sample.failures_ + sample.slow_ > 0) {
            samples.push_back(std::move(sample));
        }
    }
    return samples;
}

} // namespace sycamorewinch
