// Class changing_group: random changes within what a group must tolerate.
#include "daemon/test/support/changing_group.h"

#include <algorithm>

namespace sycamorewinch::test {

namespace {

/** A machine that is new or back counts as lost for this long. */
constexpr duration catch_up_time = std::chrono::seconds(4);
/** A machine that was removed without notice counts against the voters until an election and the
 * leader's detection of its silence are over. */
constexpr duration silent_removal_time = std::chrono::seconds(4);
constexpr std::size_t max_machines = 12;

/** Returns whether the voters recover from \p lost losses at once while \p silent other voters have
 * been removed without notice and have not been detected, each with a successor that votes. */
auto is_tolerable(unsigned tolerated, std::size_t lost, std::size_t silent) -> bool
{
    const auto voters = voters_to_tolerate(tolerated) + silent;
    const auto quorum = voters / 2 + 1;
    return lost <= tolerated && quorum + silent + lost <= voters;
}

} // namespace

auto changing_group::is_lost(const machine& machine) const -> bool
{
    return !machine.is_removed_ && !machine.is_leaving_ &&
           (machine.is_down_ || now_ < machine.running_since_ + catch_up_time);
}

auto changing_group::lost_count() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(machines_, [this](const auto& machine) { return is_lost(machine); }));
}

auto changing_group::silent_removal_count() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        silent_removals_, [this](auto at) { return now_ - at < silent_removal_time; }));
}

/** Returns how many machines may still be removed: each needs a successor of its own that has had
 * its time. */
auto changing_group::ready_successor_count() const -> std::size_t
{
    std::size_t ready = 0;
    for (machine_id id = options_.founding_machines_; id < machines_.size(); ++id) {
        const bool counts =
            machines_[id].is_removed_ || machines_[id].is_leaving_ || !is_lost(machines_[id]);
        ready += counts ? 1 : 0;
    }
    return ready > removed_count_ ? ready - removed_count_ : 0;
}

auto changing_group::undisturbed_machines() const -> std::vector<machine_id>
{
    std::vector<machine_id> ids;
    for (machine_id id = 0; id < machines_.size(); ++id) {
        const auto& machine = machines_[id];
        if (!machine.is_removed_ && !machine.is_leaving_ && !is_lost(machine)) {
            ids.push_back(id);
        }
    }
    return ids;
}

/** Returns one of \p ids; often the leader, if it is among them. */
auto changing_group::pick(const std::vector<machine_id>& ids) const -> machine_id
{
    const auto leading = leader();
    if (leading && std::ranges::find(ids, *leading) != ids.end() &&
        uniform_below(random_, 3) == 0) {
        return *leading;
    }
    return ids[uniform_below(random_, ids.size())];
}

auto changing_group::try_removal(bool is_silent) -> bool
{
    const auto silent = silent_removal_count() + (is_silent ? 1 : 0);
    const auto ids = undisturbed_machines();
    if (ready_successor_count() == 0 || ids.empty() ||
        !is_tolerable(options_.tolerated_losses_, lost_count(), silent)) {
        return false;
    }
    if (is_silent) {
        remove_silently(pick(ids));
    }
    else {
        terminate(pick(ids));
    }
    return true;
}

auto changing_group::try_loss(std::uint64_t kind) -> bool
{
    const auto ids = undisturbed_machines();
    if (ids.empty() ||
        !is_tolerable(options_.tolerated_losses_, lost_count() + 1, silent_removal_count())) {
        return false;
    }
    const auto id = pick(ids);
    const auto time =
        uniform_between(random_, std::chrono::milliseconds(100), std::chrono::milliseconds(4'000));
    switch (kind) {
    case 0:
        kill(id, time / 2);
        break;
    case 1:
        lose_disk(id, time / 2);
        break;
    case 2:
        pause(id, time);
        break;
    case 3:
        cut_off(id, time);
        break;
    default:
        restart_gracefully(id);
        break;
    }
    return true;
}

auto changing_group::try_change(std::uint64_t kind) -> bool
{
    constexpr std::uint64_t additions = 3;
    constexpr std::uint64_t removals = 4;
    if (kind < additions) {
        const auto live = std::ranges::count(machines_, false, &machine::is_removed_);
        return static_cast<std::size_t>(live) < max_machines && (add_machine(), true);
    }
    if (kind < additions + removals) {
        return try_removal(kind % 2 == 0);
    }
    return try_loss(kind - additions - removals);
}

void changing_group::make_random_change()
{
    constexpr std::uint64_t kinds = 12;
    constexpr std::uint64_t herd_one_in = 40;
    if (uniform_below(random_, herd_one_in) == 0 && lost_count() == 0 &&
        silent_removal_count() == 0) {
        for (machine_id id = 0; id < machines_.size(); ++id) {
            if (!machines_[id].is_down_ && !machines_[id].is_leaving_) {
                kill(id, uniform_between(random_, std::chrono::milliseconds(100),
                                         std::chrono::milliseconds(900)));
            }
        }
        return;
    }
    while (!try_change(uniform_below(random_, kinds))) {
        if (uniform_below(random_, 4) == 0) {
            return;
        }
    }
}

void changing_group::run_random_changes(duration time)
{
    for (const auto end = now_ + time; now_ < end && violation_.empty();) {
        if (now_ >= next_change_) {
            make_random_change();
            // Changes come in bursts and with pauses in which the group has to settle.
            const auto longest = uniform_below(random_, 8) == 0 ? std::chrono::milliseconds(9'000)
                                                                : std::chrono::milliseconds(1'200);
            next_change_ = now_ + uniform_between(random_, std::chrono::milliseconds(50), longest);
        }
        step();
    }
    check_recovered();
}

} // namespace sycamorewinch::test
