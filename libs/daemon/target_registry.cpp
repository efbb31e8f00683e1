#include "daemon/target_registry.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/enum_names.h"
#include "codec/text_check.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<announcement_refusal, 6> refusal_names{
    {"none", "superseded", "left", "withdrawn_start", "withdrawn_name", "withdrawn_later"}};

auto has_same_address(const target_announcement& one, const target_announcement& other) -> bool
{
    return !one.address_.host_.empty() && one.address_ == other.address_;
}

} // namespace

auto name_of(announcement_refusal reason) -> std::string_view
{
    return refusal_names.name(reason);
}

auto announcement_problem(const target_announcement& announcement) -> std::string
{
    if (const auto problem = foreign_name_problem(announcement.service_, max_name_bytes);
        !problem.empty()) {
        return fmt::format("the name of the service {}; it must have 1 to {} bytes of UTF-8",
                           problem, max_name_bytes);
    }
    if (const auto problem = foreign_name_problem(announcement.target_, max_name_bytes);
        !problem.empty()) {
        return fmt::format("the name of the target {}; it must have 1 to {} bytes of UTF-8",
                           problem, max_name_bytes);
    }
    const auto& version = announcement.software_version_;
    if (version.size() > max_software_version_bytes || !is_utf8(version)) {
        return fmt::format("the software version must have at most {} bytes of UTF-8",
                           max_software_version_bytes);
    }
    return announcement.address_.port_ == 0 ? "the address has no port" : std::string();
}

target_registry::target_registry(std::string availability_zone, std::string node_address,
                                 std::uint64_t incarnation, std::string node_admin)
    : availability_zone_(std::move(availability_zone)), node_address_(std::move(node_address)),
      incarnation_(incarnation), node_admin_(std::move(node_admin))
{
}

auto target_registry::announce(const target_announcement& announcement, instant now) -> bool
{
    if (refusal_of(announcement, now) != announcement_refusal::none) {
        return false;
    }
    const bool has_retired_others = retire_others_at_address(announcement);
    auto& target = targets_[{announcement.service_, announcement.target_}];
    const auto before = target.record_;
    const bool is_new_start = is_start(target, announcement);
    if (is_new_start) {
        ++target.starts_;
        target.is_leaving_ = false;
    }
    target.announcement_ = announcement;
    target.has_left_ = false;
    const bool is_final = announcement.draining_ && announcement.started_ != 0;
    target.is_leaving_ = target.is_leaving_ || is_final;
    target.lease_end_ = now + announcement.lease_;
    auto& record = target.record_;
    record.service_ = announcement.service_;
    record.target_ = announcement.target_;
    record.availability_zone_ = availability_zone_;
    record.node_address_ = node_address_;
    record.node_admin_ = node_admin_;
    record.incarnation_ = incarnation_;
    record.slots_ = announcement.slots_;
    record.started_ = announcement.started_;
    record.software_version_ = announcement.software_version_;
    record.left_start_ = target.is_leaving_ ? announcement.started_ : record.left_start_;
    // Later announcements of one start give a shorter remaining cold start, which is no change.
    if (is_new_start) {
        record.cold_start_ = announcement.cold_start_;
    }
    record.state_ = announced_state(target);
    if (record == before && !is_new_start) {
        return has_retired_others;
    }
    record.sequence_ = next_sequence();
    return true;
}

auto target_registry::is_start(const registered_target& target,
                               const target_announcement& announcement) -> bool
{
    const bool was_known = !target.record_.target_.empty();
    // Without a start number, a target that was gone is taken to have restarted.
    const bool has_returned =
        announcement.started_ == 0 && target.record_.state_ == target_state::gone;
    return !was_known || has_returned || announcement.started_ != target.announcement_.started_;
}

auto target_registry::refusal_of(const target_announcement& announcement, instant now) const
    -> announcement_refusal
{
    const auto refusal = registered_refusal_of(announcement);
    return refusal != announcement_refusal::none ? refusal
                                                 : withdrawal_refusal_of(announcement, now);
}

auto target_registry::registered_refusal_of(const target_announcement& announcement) const
    -> announcement_refusal
{
    for (const auto& [name, target] : targets_) {
        const auto& known = target.announcement_;
        const bool is_same = name == std::pair(announcement.service_, announcement.target_);
        if (!is_same && !has_same_address(known, announcement)) {
            continue;
        }
        if (announcement.started_ < known.started_) {
            return announcement_refusal::superseded;
        }
        const bool is_same_start = is_same && announcement.started_ == known.started_;
        if (is_same_start && target.has_left_) {
            return announcement_refusal::left;
        }
        if (is_same_start && announcement.sequence_ != 0 &&
            announcement.sequence_ <= known.sequence_) {
            return announcement_refusal::superseded;
        }
    }
    return announcement_refusal::none;
}

auto target_registry::retire_others_at_address(const target_announcement& announcement) -> bool
{
    bool has_retired = false;
    for (auto& [name, target] : targets_) {
        const bool is_same = name == std::pair(announcement.service_, announcement.target_);
        if (!is_same && has_same_address(target.announcement_, announcement)) {
            has_retired = set_state(target, target_state::gone) || has_retired;
        }
    }
    return has_retired;
}

auto target_registry::displaces_named_target(
    const target_announcement& announcement,
    const std::function<bool(const std::string& service)>& is_named) const -> bool
{
    const auto is_displaced = [&](const auto& entry) {
        const auto& [name, target] = entry;
        return name.first != announcement.service_ && target.record_.state_ != target_state::gone &&
               has_same_address(target.announcement_, announcement) && is_named(name.first);
    };
    return std::ranges::any_of(targets_, is_displaced) && !is_named(announcement.service_);
}

auto target_registry::next_sequence() -> std::uint64_t
{
    sequence_ = (sequence_ / sequence_step + 1) * sequence_step;
    return sequence_;
}

auto target_registry::announced_state(const registered_target& target) const -> target_state
{
    if (target.has_left_) {
        return target_state::gone;
    }
    const bool drains = target.announcement_.draining_ || target.is_leaving_ ||
                        target.drained_by_operator_ || node_drained_;
    return drains ? target_state::draining : target_state::up;
}

auto target_registry::set_state(registered_target& target, target_state state) -> bool
{
    if (target.record_.state_ == state) {
        return false;
    }
    target.record_.state_ = state;
    target.record_.sequence_ = next_sequence();
    return true;
}

auto target_registry::withdraw(const std::string& target, const std::vector<target_record>& known,
                               instant now) -> std::vector<target_record>
{
    std::vector<target_record> changed;
    bool is_registered = false;
    for (auto& [name, own] : targets_) {
        if (name.second == target) {
            is_registered = true;
            own.has_left_ = true;
            own.record_.left_start_ = own.announcement_.started_;
            if (set_state(own, target_state::gone)) {
                changed.push_back(own.record_);
            }
        }
    }
    if (!is_registered) {
        std::erase_if(withdrawals_, [&](const auto& earlier) {
            return earlier.target_ == target || now - earlier.at_ >= withdrawal_retention;
        });
        withdrawals_.push_back({target, now});
        if (withdrawals_.size() > max_withdrawals) {
            withdrawals_.pop_front();
        }
        resolve_withdrawals(known, changed);
    }
    return changed;
}

auto target_registry::is_of_earlier_process(const target_record& record) const -> bool
{
    return record.node_address_ == node_address_ &&
           !targets_.contains({record.service_, record.target_});
}

void target_registry::resolve_withdrawals(const std::vector<target_record>& received,
                                          std::vector<target_record>& changed)
{
    for (const auto& record : received) {
        const auto found = std::ranges::find(withdrawals_, record.target_, &withdrawal::target_);
        if (found == withdrawals_.end() || !is_of_earlier_process(record)) {
            continue;
        }
        found->left_start_ = std::max(found->left_start_, record.started_);
        const bool is_left_unknown = record.started_ != 0 && !has_left(record);
        if (record.state_ != target_state::gone || is_left_unknown) {
            changed.push_back(record);
            changed.back().state_ = target_state::gone;
            changed.back().left_start_ = record.started_;
            ++changed.back().sequence_;
        }
    }
}

// The records may tell an earlier start than the one that left, whose announcements no other
// process may have heard of. Only the first announcement of a start shows that it began after the
// withdrawal.
auto target_registry::withdrawal_refusal_of(const target_announcement& announcement,
                                            instant now) const -> announcement_refusal
{
    const auto found = std::ranges::find(withdrawals_, announcement.target_, &withdrawal::target_);
    if (found == withdrawals_.end()) {
        return announcement_refusal::none;
    }
    const auto age = now - found->at_;
    if (found->left_start_ == 0) {
        return age < withdrawal_retention ? announcement_refusal::withdrawn_name
                                          : announcement_refusal::none;
    }
    if (announcement.started_ <= found->left_start_) {
        return announcement_refusal::withdrawn_start;
    }
    return announcement.sequence_ > 1 && age < max_announcement_delay
               ? announcement_refusal::withdrawn_later
               : announcement_refusal::none;
}

auto target_registry::mark_leaving(const std::string& service, const std::string& target)
    -> std::vector<target_record>
{
    std::vector<target_record> changed;
    if (const auto found = targets_.find({service, target}); found != targets_.end()) {
        found->second.is_leaving_ = true;
        found->second.record_.left_start_ = found->second.announcement_.started_;
        update_state(found->second, changed);
    }
    return changed;
}

auto target_registry::learn_leaving(const std::vector<target_record>& received)
    -> std::vector<target_record>
{
    std::vector<target_record> changed;
    for (const auto& record : received) {
        const auto found = targets_.find({record.service_, record.target_});
        if (found == targets_.end() || record.node_address_ != node_address_) {
            continue;
        }
        auto& own = found->second.record_;
        own.left_start_ = std::max(own.left_start_, record.left_start_);
        if (has_left(own) && !found->second.is_leaving_) {
            found->second.is_leaving_ = true;
            update_state(found->second, changed);
        }
    }
    resolve_withdrawals(received, changed);
    return changed;
}

auto target_registry::expire(instant now) -> std::vector<target_record>
{
    std::vector<target_record> changed;
    for (auto& [name, target] : targets_) {
        if (target.lease_end_ <= now && set_state(target, target_state::gone)) {
            changed.push_back(target.record_);
        }
    }
    return changed;
}

auto target_registry::refute(const std::vector<target_record>& received)
    -> std::vector<target_record>
{
    std::vector<target_record> changed;
    for (const auto& record : received) {
        const auto found = targets_.find({record.service_, record.target_});
        if (found == targets_.end() || record.node_address_ != node_address_ ||
            !is_newer(record, found->second.record_)) {
            continue;
        }
        // The wall clock was set back, so this start got a lower incarnation than an earlier one.
        if (record.incarnation_ > incarnation_) {
            incarnation_ = record.incarnation_ + 1;
        }
        sequence_ = std::max(sequence_, record.sequence_);
        found->second.record_.incarnation_ = incarnation_;
        found->second.record_.sequence_ = next_sequence();
        changed.push_back(found->second.record_);
    }
    return changed;
}

auto target_registry::disown(const std::vector<target_record>& received) const
    -> std::vector<target_record>
{
    std::vector<target_record> gone;
    for (const auto& record : received) {
        const bool is_unknown_here = record.node_address_ == node_address_ &&
                                     record.state_ != target_state::gone &&
                                     !targets_.contains({record.service_, record.target_});
        if (is_unknown_here) {
            gone.push_back(record);
            gone.back().state_ = target_state::gone;
            ++gone.back().sequence_;
        }
    }
    return gone;
}

void target_registry::renew()
{
    for (auto& [name, target] : targets_) {
        target.record_.sequence_ = next_sequence();
    }
}

auto target_registry::drain_all() -> std::vector<target_record>
{
    std::vector<target_record> changed;
    for (auto& [name, target] : targets_) {
        if (target.record_.state_ == target_state::up &&
            set_state(target, target_state::draining)) {
            changed.push_back(target.record_);
        }
    }
    return changed;
}

auto target_registry::update_state(registered_target& target, std::vector<target_record>& changed)
    -> void
{
    if (target.record_.state_ != target_state::gone && set_state(target, announced_state(target))) {
        changed.push_back(target.record_);
    }
}

auto target_registry::drain_target(const std::string& service, const std::string& target,
                                   bool drained) -> result<std::vector<target_record>>
{
    const auto found = targets_.find({service, target});
    if (found == targets_.end()) {
        return failure(error_kind::not_found, "target '" + target + "' of service '" + service +
                                                  "' is not registered at this node");
    }
    found->second.drained_by_operator_ = drained;
    std::vector<target_record> changed;
    update_state(found->second, changed);
    return changed;
}

auto target_registry::drain_node(bool drained) -> std::vector<target_record>
{
    node_drained_ = drained;
    std::vector<target_record> changed;
    for (auto& [name, target] : targets_) {
        update_state(target, changed);
    }
    return changed;
}

auto target_registry::records() const -> std::vector<target_record>
{
    std::vector<target_record> all;
    all.reserve(targets_.size());
    for (const auto& [name, target] : targets_) {
        all.push_back(target.record_);
    }
    return all;
}

auto target_registry::targets() const -> std::vector<registered_target>
{
    std::vector<registered_target> all;
    all.reserve(targets_.size());
    for (const auto& [name, target] : targets_) {
        all.push_back(target);
    }
    return all;
}

} // namespace sycamorewinch
