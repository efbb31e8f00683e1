#include "daemon/progress_board.h"

#include <algorithm>

#include "distribution/publisher.h"

namespace sycamorewinch {

void progress_board::report(const std::string& from, std::vector<zone_progress> zones, instant now)
{
    entries_[from] = {std::move(zones), now + progress_silence};
}

void progress_board::on_disconnected(const std::string& name, instant now)
{
    const auto found = entries_.find(name);
    if (found != entries_.end()) {
        auto& until = found->second.counts_until_;
        until = std::min<instant>(until, now + progress_grace);
    }
}

auto progress_board::total(std::vector<zone_progress> own, instant now) const
    -> std::vector<zone_progress>
{
    for (const auto& [name, entry] : entries_) {
        if (now < entry.counts_until_) {
            merge_progress(own, entry.zones_);
        }
    }
    return own;
}

auto progress_board::silent(instant now) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (now >= entry.counts_until_) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace sycamorewinch
