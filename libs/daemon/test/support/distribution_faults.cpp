// The faults of a distribution_world, and the invariants that must hold under them.
#include <algorithm>

#include <fmt/core.h>

#include "distribution_world.h"

namespace sycamorewinch::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t control_count = 3;
constexpr std::size_t relay_count = 2;
constexpr std::size_t kept_events = 60;
constexpr std::size_t herd_versions = 300;
constexpr duration longest_to_agree = seconds(60);
constexpr duration silent_connections_left = seconds(10); ///< Above a node's proof timeout.
constexpr duration drain_bound = seconds(3);
constexpr duration longest_to_notice_death = seconds(17);

/** What may go wrong in one step. */
enum class fault : std::uint8_t {
    cut_connection,
    silent_connection,
    one_way_partition,
    two_way_partition,
    partition_ends,
    crash,
    herd_crash,
    control_cut_off,
    control_rejoins,
    clock_jumps_ahead,
    wall_clock_set_back,
    drain,
    many_versions,
    count
};

} // namespace

void distribution_world::inject_fault()
{
    if (chance(25)) {
        accept_version();
    }
    if (!chance(40)) {
        return;
    }
    const auto lower = control_count + below(processes_.size() - control_count);
    auto& one = processes_[lower];
    const auto upper = one.upstreams_[below(one.upstreams_.size())];
    switch (static_cast<fault>(below(static_cast<std::uint64_t>(fault::count)))) {
    case fault::cut_connection:
        close_from_below(lower);
        break;
    case fault::silent_connection:
        if (one.link_) {
            one.link_->silent_ = true;
        }
        break;
    case fault::one_way_partition:
        blocked_.insert(chance(2) ? std::pair(lower, upper) : std::pair(upper, lower));
        break;
    case fault::two_way_partition:
        blocked_.insert({lower, upper});
        blocked_.insert({upper, lower});
        break;
    case fault::partition_ends:
        if (!blocked_.empty()) {
            blocked_.erase(std::next(blocked_.begin(), static_cast<long>(below(blocked_.size()))));
        }
        break;
    case fault::crash:
        crash(below(processes_.size()));
        break;
    case fault::herd_crash:
        for (std::size_t index = control_count; index < processes_.size(); ++index) {
            if (chance(2)) {
                crash(index);
            }
        }
        break;
    case fault::control_cut_off:
        cut_control(below(control_count));
        break;
    case fault::control_rejoins:
        rejoin_control(below(control_count));
        break;
    case fault::clock_jumps_ahead:
        one.clock_offset_ += milliseconds(below(60'000));
        break;
    case fault::wall_clock_set_back:
        one.clock_offset_ -= one.running_ ? seconds(0) : seconds(below(3600));
        break;
    case fault::drain:
        one.draining_ = !one.draining_;
        break;
    case fault::many_versions:
        for (std::size_t done = 0; chance(4) && done < herd_versions; ++done) {
            accept_version();
        }
        break;
    case fault::count:
        break;
    }
    note(fmt::format("fault at {}", one.name_));
}

void distribution_world::crash(std::size_t index)
{
    if (processes_[index].running_) {
        stop(index);
        processes_[index].starts_at_ = now_ + milliseconds(below(8000));
    }
}

// At least two of the three control processes stay joined, so that versions go on being accepted.
void distribution_world::cut_control(std::size_t index)
{
    const auto cut = std::ranges::any_of(processes_, &process::cut_off_);
    if (!cut) {
        note(fmt::format("{} is cut off at version {}", processes_[index].name_,
                         processes_[index].applied_));
        processes_[index].cut_off_ = true;
    }
}

void distribution_world::rejoin_control(std::size_t index)
{
    if (!processes_[index].cut_off_) {
        return;
    }
    processes_[index].cut_off_ = false;
    exchange_targets();
}

// Control processes tell each other all they know whenever they are joined again.
void distribution_world::exchange_targets()
{
    for (std::size_t from = 0; from < control_count; ++from) {
        for (std::size_t to = 0; to < control_count; ++to) {
            if (from != to && processes_[from].publisher_ && !processes_[from].cut_off_) {
                const auto& publisher = *processes_[from].publisher_;
                const auto due = now_ + milliseconds(5 + below(300));
                control_letters_.push_back({due, to, {publisher.leased_targets(), true}});
                control_letters_.push_back({due, to, {publisher.targets().records(), false}});
            }
        }
    }
}

void distribution_world::heal()
{
    note("all faults are healed");
    blocked_.clear();
    for (std::size_t index = 0; index < processes_.size(); ++index) {
        auto& one = processes_[index];
        one.starts_at_ = std::min(one.starts_at_, now_);
        if (index < control_count) {
            rejoin_control(index);
        }
        one.draining_ = false;
    }
}

void distribution_world::wait_for_agreement()
{
    auto problem = std::string("not looked yet");
    for (const auto end = now_ + longest_to_agree; now_ < end && violation_.empty();) {
        step();
        problem = disagreement();
        if (problem.empty()) {
            return;
        }
    }
    fail("the nodes do not agree though all is healed: " + problem);
}

auto distribution_world::disagreement() -> std::string
{
    for (const auto& one : processes_) {
        if (!one.running_) {
            return one.name_ + " is not running";
        }
        if (!one.is_node_) {
            continue;
        }
        const auto& enforced = one.subscriber_->enforced();
        if (!enforced || enforced->version_ != accepted_.back()->version_) {
            return fmt::format("{} enforces {} and not {}", one.name_,
                               enforced ? enforced->version_.number_ : 0, accepted_.size() - 1);
        }
        for (const auto& other : processes_) {
            for (const auto& record :
                 other.registry_ ? other.registry_->records() : std::vector<target_record>()) {
                const auto* known = one.directory_.find(record.service_, record.target_);
                if (known == nullptr || *known != record) {
                    return fmt::format("{} does not know {}: {}", one.name_, record.target_,
                                       knowledge_of(record));
                }
            }
        }
    }
    return {};
}

// Who knows which state of a target, for the message of a failure.
auto distribution_world::knowledge_of(const target_record& record) const -> std::string
{
    std::string text = fmt::format("announced {}.{}", record.incarnation_, record.sequence_);
    for (const auto& one : processes_) {
        const auto* known = one.publisher_
                                ? one.publisher_->targets().find(record.service_, record.target_)
                                : one.directory_.find(record.service_, record.target_);
        text +=
            fmt::format(", {} knows {}.{}", one.name_, known != nullptr ? known->incarnation_ : 0,
                        known != nullptr ? known->sequence_ : 0);
        if (one.publisher_ && one.publisher_->stale_targets() > 0) {
            text += fmt::format(" (stale targets: {})", one.publisher_->stale_targets());
        }
        if (one.link_) {
            text += " below " + processes_[one.link_->upper_].name_;
        }
    }
    return text;
}

void distribution_world::pass(duration span)
{
    for (const auto end = now_ + span; now_ < end && violation_.empty();) {
        step();
    }
}

void distribution_world::check_drain()
{
    if (!violation_.empty()) {
        return;
    }
    pass(silent_connections_left);
    auto& leaving = processes_[control_count + relay_count +
                               below(processes_.size() - control_count - relay_count)];
    leaving.draining_ = true;
    leaving.announces_at_ = now_;
    note(fmt::format("{} drains", leaving.name_));
    pass(drain_bound);
    const auto giver = gives_work_to("target-of-" + leaving.name_);
    if (!giver.empty()) {
        fail(fmt::format("{} still gives work to draining {}", giver, leaving.name_));
    }
    leaving.draining_ = false;
    leaving.announces_at_ = now_;
}

// A node that dies for good: its target goes, as its service has another one.
void distribution_world::check_death()
{
    if (!violation_.empty()) {
        return;
    }
    const auto index = control_count + relay_count;
    note(fmt::format("{} dies", processes_[index].name_));
    stop(index);
    processes_[index].starts_at_ = instant::max();
    pass(longest_to_notice_death);
    const auto giver = gives_work_to("target-of-" + processes_[index].name_);
    if (!giver.empty()) {
        fail(fmt::format("{} still gives work to dead {}: {}", giver, processes_[index].name_,
                         knowledge_of({.service_ = service_name(index),
                                       .target_ = "target-of-" + processes_[index].name_})));
    }
}

auto distribution_world::gives_work_to(const std::string& target) const -> std::string
{
    const auto is_it = [&target](const auto& one) {
        return one.record_.target_ == target;
    };
    for (const auto& one : processes_) {
        if (!one.is_node_ || !one.running_) {
            continue;
        }
        for (const auto& row : accepted_.back()->rows_) {
            const auto* route = one.routes_->match(row.path_prefix_);
            if (route != nullptr && std::ranges::any_of(route->targets_, is_it)) {
                return one.name_;
            }
        }
    }
    return {};
}

void distribution_world::check_enforced(std::size_t index, const table& enforced)
{
    auto& one = processes_[index];
    auto rows = enforced.rows_;
    if (options_.variant_ == broken_variant::partial_table && !rows.empty()) {
        rows.pop_back();
    }
    const auto number = enforced.version_.number_;
    note(fmt::format("{} enforces {}", one.name_, number));
    if (number < one.highest_enforced_) {
        fail(fmt::format("{} goes back from {} to {}", one.name_, one.highest_enforced_, number));
    }
    if (number < one.accepted_at_start_) {
        fail(fmt::format("{} enforces {}, older than {} at its start", one.name_, number,
                         one.accepted_at_start_));
    }
    if (number >= accepted_.size() || accepted_[number]->version_ != enforced.version_) {
        fail(fmt::format("{} enforces {}, which was not accepted", one.name_, number));
    }
    if (digest_of_rows(rows) != enforced.version_.digest_) {
        fail(fmt::format("{} enforces a part of {}", one.name_, number));
    }
    one.highest_enforced_ = std::max(one.highest_enforced_, number);
}

void distribution_world::check_routes(std::size_t index)
{
    const auto& one = processes_[index];
    const auto& table = one.routes_->table_in_force();
    if (!table) {
        return;
    }
    for (const auto& row : table->rows_) {
        const auto* route = one.routes_->match(row.path_prefix_);
        if (route == nullptr) {
            fail(fmt::format("{} has no route for {}", one.name_, row.service_));
            return;
        }
        for (const auto& target : route->targets_) {
            const auto* known =
                one.directory_.find(target.record_.service_, target.record_.target_);
            if (known == nullptr || known->state_ != target_state::up ||
                known->service_ != route->row_->service_) {
                fail(fmt::format("{} routes to {}, which is not up", one.name_,
                                 target.record_.target_));
            }
        }
    }
}

auto distribution_world::is_blocked(std::size_t lower, std::size_t upper, bool is_up) const -> bool
{
    return blocked_.contains(is_up ? std::pair(lower, upper) : std::pair(upper, lower));
}

auto distribution_world::local_time(const process& one) const -> instant
{
    return now_ + std::max(one.clock_offset_, duration(0));
}

auto distribution_world::below(std::uint64_t bound) -> std::size_t
{
    return static_cast<std::size_t>(uniform_below(random_, bound));
}

auto distribution_world::chance(unsigned one_in) -> bool
{
    return below(one_in) == 0;
}

void distribution_world::note(std::string event)
{
    trace_.push_back(fmt::format("{:8} ms {}", to_milliseconds(now_.time_since_epoch()), event));
    if (trace_.size() > kept_events) {
        trace_.pop_front();
    }
}

void distribution_world::fail(std::string what)
{
    note(what);
    if (violation_.empty()) {
        violation_ = std::move(what);
    }
}

} // namespace sycamorewinch::test
