#include "membership/target_leases.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** A longer pause between two ticks means that this process itself was stopped. */
constexpr duration longest_pause = std::chrono::seconds(2);

using count_by_service = std::map<std::string, std::size_t>;

auto count_up(const target_directory& directory) -> count_by_service
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
        found->second.is_taken_over_ = true; // the connection here may be silent for good
    }
    else {
        leases_.erase(found);
    }
}

void target_leases::on_holder_gone(lease_holder holder, instant now)
{
    std::erase_if(leases_, [holder](const auto& one) {
        return one.second.holder_ == holder && one.second.is_taken_over_;
    });
    for (auto& [key, lease] : leases_) {
        if (lease.holder_ == holder && lease.is_connected_) {
            lease.is_connected_ = false;
            lease.lost_at_ = now;
        }
    }
}

auto target_leases::length_of(const lease& lease, bool is_mass) const -> duration
{
    if (is_mass) {
        return options_.mass_lease_;
    }
    return lease.is_relay_ ? options_.relay_lease_ : options_.node_lease_;
}

auto target_leases::tick(instant now, bool is_joined, const target_directory& directory)
    -> std::vector<target_record>
{
    const auto pause = now - std::exchange(now_, now);
    const auto shift = !is_joined || pause > longest_pause ? pause : duration(0);
    const auto lost = stale_count();
    const auto is_mass = lost > options_.mass_floor_ && lost * 2 > leases_.size();
    std::vector<target_key> due;
    for (auto& [key, lease] : leases_) {
        lease.lost_at_ = std::min(now, lease.lost_at_ + shift);
        if (!lease.is_connected_ && now - lease.lost_at_ >= length_of(lease, is_mass)) {
            due.push_back(key);
        }
    }
    return due.empty() ? std::vector<target_record>() : expire(due, directory);
}

auto target_leases::expire(const std::vector<target_key>& due, const target_directory& directory)
    -> std::vector<target_record>
{
    std::vector<target_record> expired;
    auto up = count_up(directory);
    for (const auto& key : due) {
        const auto* record = directory.find(key.service_, key.target_);
        if (record == nullptr) {
            leases_.erase(key);
            continue;
        }
        if (record->state_ == target_state::up) {
            if (up[key.service_] <= 1) {
                continue;
            }
            --up[key.service_];
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

auto target_leases::is_vouched_for(const target_record& record) const -> bool
{
    const auto found = leases_.find(key_of(record));
    return found != leases_.end() && found->second.is_connected_;
}

auto target_leases::stale_count() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(leases_, [](const auto& one) { return !one.second.is_connected_; }));
}

} // namespace sycamorewinch
