#include "crash_record/crash_tracker.h"

#include <algorithm>

namespace sycamorewinch {

auto crash_view::is_suspect(request_head_hash head) const -> bool
{
    return heads_.contains(head);
}

auto crash_view::crashed_targets(const digest& fingerprint) const -> std::size_t
{
    const auto found = counts_.find(fingerprint);
    return found == counts_.end() ? 0 : found->second;
}

auto crash_tracker::merge(const crash_record& record, instant now) -> bool
{
    if (record.event_ == crash_event::answered) {
        return entries_.erase(record.fingerprint_) > 0;
    }
    if (!entries_.contains(record.fingerprint_)) {
        evict_least_recent_if_full();
    }
    auto& entry = entries_[record.fingerprint_];
    entry.head_ = record.head_;
    entry.last_crash_at_ = now;
    // A request that has crashed max_crashed_targets targets is blocked, so more are not stored.
    return entry.targets_.size() < max_crashed_targets &&
           entry.targets_.insert(record.target_).second;
}

void crash_tracker::evict_least_recent_if_full()
{
    if (entries_.size() < max_crash_fingerprints) {
        return;
    }
    const auto least_recent =
        std::ranges::min_element(entries_, {}, [](const auto& fingerprint_and_entry) {
            return fingerprint_and_entry.second.last_crash_at_;
        });
    entries_.erase(least_recent);
}

auto crash_tracker::expire(instant now) -> bool
{
    const auto is_expired = [now](const auto& fingerprint_and_entry) {
        return now - fingerprint_and_entry.second.last_crash_at_ >= crash_window;
    };
    return std::erase_if(entries_, is_expired) > 0;
}

auto crash_tracker::records() const -> std::vector<crash_record>
{
    std::vector<crash_record> all;
    for (const auto& [fingerprint, entry] : entries_) {
        for (const auto& target : entry.targets_) {
            all.push_back({crash_event::crashed, entry.head_, fingerprint, target});
        }
    }
    return all;
}

auto crash_tracker::view() const -> std::shared_ptr<const crash_view>
{
    auto view = std::make_shared<crash_view>();
    for (const auto& [fingerprint, entry] : entries_) {
        view->heads_.insert(entry.head_);
        view->counts_[fingerprint] = entry.targets_.size();
    }
    return view;
}

} // namespace sycamorewinch
