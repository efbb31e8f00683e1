#include "daemon/progress_tracker.h"

#include <algorithm>

#include "distribution/publisher.h"

namespace sycamorewinch {

void progress_tracker::on_report(const std::string& from, std::vector<zone_progress> zones,
                                 instant now)
{
    entries_[from] = {std::move(zones), now + replica_report_timeout};
}

void progress_tracker::on_disconnected(const std::string& name, instant now)
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        auto& valid_until = found->second.valid_until_;
        valid_until = std::min<instant>(valid_until, now + disconnected_replica_grace_period);
    }
}

auto progress_tracker::merge_with_reports(std::vector<zone_progress> own, instant now) const
    -> std::vector<zone_progress>
{
    for (const auto& [name, entry] : entries_) {
        if (now < entry.valid_until_) {
            merge_progress(own, entry.zones_);
        }
    }
    return own;
}

auto progress_tracker::silent_replicas(instant now) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (now >= entry.valid_until_) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace sycamorewinch
