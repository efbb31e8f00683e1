#include "membership/target_leases.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** A longer gap between two ticks means that this process itself was paused. */
constexpr duration max_tick_gap = std::chrono::seconds(2);

using count_by_service = std::map<std::string, std::size_t>;

auto count_up_targets(const target_directory& directory) -> count_by_service
{
    count_by_service counts;
    for (const auto& record : directory.records()) {
        counts[record.service_] += record.state_ == target_state::up ? 1 : 0;
    }
    return counts;
}

} // namespace

void target_leases::hold(const target_record& record, lease_holder holder, bool is_relay)
{
    if (record.state_ == target_state::gone) {
        leases_.erase(key_of(record));
        return;
    }
    leases_[key_of(record)] = {holder, is_relay, true, false, {}};
}

void target_leases::release(const target_record& record)
{
    leases_.erase(key_of(record));
}

void target_leases::take_over(const target_record& record)
{
    const auto found = leases_.find(key_of(record));
    if (found == leases_.end()) {
        return;
    }
    if (found->second.is_connected_) {
        // The connection to this process may be dead without having been closed.
        found->second.is_taken_over_ = true;
    }
    else {
        leases_.erase(found);
    }
}

void target_leases::on_holder_disconnected(lease_holder holder, instant now)
{
    std::erase_if(leases_, [holder](const auto& entry) {
        return entry.second.holder_ == holder && entry.second.is_taken_over_;
    });
    for (auto& [key, lease] : leases_) {
        if (lease.holder_ == holder && lease.is_connected_) {
            lease.is_connected_ = false;
            lease.disconnected_at_ = now;
        }
    }
}

auto target_leases::lease_duration(const lease& lease, bool is_mass_loss) const -> duration
{
    if (is_mass_loss) {
        return options_.mass_loss_lease_;
    }
    return lease.is_relay_ ? options_.relay_lease_ : options_.node_lease_;
}

auto target_leases::tick(instant now, bool has_upstream_contact, const target_directory& directory)
    -> std::vector<target_record>
{
    const auto tick_gap = now - std::exchange(now_, now);
    const auto extension =
        !has_upstream_contact || tick_gap > max_tick_gap ? tick_gap : duration(0);
    const auto disconnected = stale_count();
    const auto is_mass_loss =
        disconnected > options_.mass_loss_threshold_ && disconnected * 2 > leases_.size();
    std::vector<target_key> due;
    for (auto& [key, lease] : leases_) {
        lease.disconnected_at_ = std::min(now, lease.disconnected_at_ + extension);
        if (!lease.is_connected_ &&
            now - lease.disconnected_at_ >= lease_duration(lease, is_mass_loss)) {
            due.push_back(key);
        }
    }
    return due.empty() ? std::vector<target_record>() : expire(due, directory);
}

auto target_leases::expire(const std::vector<target_key>& due, const target_directory& directory)
    -> std::vector<target_record>
{
    std::vector<target_record> expired;
    auto up_targets = count_up_targets(directory);
    for (const auto& key : due) {
        const auto* record = directory.find(key.service_, key.target_);
        if (record == nullptr) {
            leases_.erase(key);
            continue;
        }
        if (record->state_ == target_state::up) {
            if (up_targets[key.service_] <= 1) {
                continue;
            }
            --up_targets[key.service_];
        }
        auto gone = *record;
        gone.state_ = target_state::gone;
        ++gone.sequence_;
        expired.push_back(std::move(gone));
        leases_.erase(key);
    }
    return expired;
}

auto target_leases::holds(const target_record& record) const -> bool
{
    return leases_.contains(key_of(record));
}

auto target_leases::has_connected_holder(const target_record& record) const -> bool
{
    const auto found = leases_.find(key_of(record));
    return found != leases_.end() && found->second.is_connected_;
}

auto target_leases::stale_count() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        leases_, [](const auto& entry) { return !entry.second.is_connected_; }));
}

} // namespace sycamorewinch
