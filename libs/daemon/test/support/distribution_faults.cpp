// The faults that distribution_simulation injects, and the invariants that must hold under them.
#include <algorithm>

#include <fmt/core.h>

#include "distribution_simulation.h"

namespace sycamorewinch::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t control_count = 3;
constexpr std::size_t relay_count = 2;
constexpr std::size_t max_trace_events = 60;
constexpr std::size_t max_versions_per_fault = 300;
constexpr duration agreement_timeout = seconds(60);
constexpr duration silent_connection_timeout = seconds(10); ///< Above a node's proof timeout.
constexpr duration drain_deadline = seconds(3);
constexpr duration node_failure_detection_deadline = seconds(17);

/** A fault that one step may inject. */
enum class fault : std::uint8_t {
    cut_connection,
    silent_connection,
    one_way_partition,
    two_way_partition,
    partition_ends,
    crash,
    mass_crash,
    control_isolated,
    control_reconnects,
    clock_jumps_ahead,
    wall_clock_set_back,
    drain,
    many_versions,
    count
};

} // namespace

void distribution_simulation::inject_fault()
{
    if (one_in(25)) {
        accept_version();
    }
    if (!one_in(40)) {
        return;
    }
    const auto lower = control_count + random_below(processes_.size() - control_count);
    auto& proc = processes_[lower];
    const auto upper = proc.upstreams_[random_below(proc.upstreams_.size())];
    switch (static_cast<fault>(random_below(static_cast<std::uint64_t>(fault::count)))) {
    case fault::cut_connection:
        close_from_subscriber(lower);
        break;
    case fault::silent_connection:
        if (proc.link_) {
            proc.link_->is_silent_ = true;
        }
        break;
    case fault::one_way_partition:
        blocked_.insert(one_in(2) ? std::pair(lower, upper) : std::pair(upper, lower));
        break;
    case fault::two_way_partition:
        blocked_.insert({lower, upper});
        blocked_.insert({upper, lower});
        break;
    case fault::partition_ends:
        if (!blocked_.empty()) {
            blocked_.erase(
                std::next(blocked_.begin(), static_cast<long>(random_below(blocked_.size()))));
        }
        break;
    case fault::crash:
        crash(random_below(processes_.size()));
        break;
    case fault::mass_crash:
        for (std::size_t index = control_count; index < processes_.size(); ++index) {
            if (one_in(2)) {
                crash(index);
            }
        }
        break;
    case fault::control_isolated:
        isolate_control(random_below(control_count));
        break;
    case fault::control_reconnects:
        reconnect_control(random_below(control_count));
        break;
    case fault::clock_jumps_ahead:
        proc.clock_offset_ += milliseconds(random_below(60'000));
        break;
    case fault::wall_clock_set_back:
        proc.clock_offset_ -= proc.is_running_ ? seconds(0) : seconds(random_below(3600));
        break;
    case fault::drain:
        proc.draining_ = !proc.draining_;
        break;
    case fault::many_versions:
        for (std::size_t count = 0; one_in(4) && count < max_versions_per_fault; ++count) {
            accept_version();
        }
        break;
    case fault::count:
        break;
    }
    trace_event(fmt::format("fault at {}", proc.name_));
}

void distribution_simulation::crash(std::size_t index)
{
    if (processes_[index].is_running_) {
        stop(index);
        processes_[index].restarts_at_ = now_ + milliseconds(random_below(8000));
    }
}

// Isolates at most one of the three control processes, so that a quorum can still accept versions.
void distribution_simulation::isolate_control(std::size_t index)
{
    const auto is_any_isolated = std::ranges::any_of(processes_, &process::is_isolated_);
    if (!is_any_isolated) {
        trace_event(fmt::format("{} is isolated at version {}", processes_[index].name_,
                                processes_[index].applied_version_));
        processes_[index].is_isolated_ = true;
    }
}

void distribution_simulation::reconnect_control(std::size_t index)
{
    if (!processes_[index].is_isolated_) {
        return;
    }
    processes_[index].is_isolated_ = false;
    exchange_targets();
}

// After a reconnection, control processes send each other all the targets they know.
void distribution_simulation::exchange_targets()
{
    for (std::size_t from = 0; from < control_count; ++from) {
        for (std::size_t to = 0; to < control_count; ++to) {
            if (from != to && processes_[from].publisher_ && !processes_[from].is_isolated_) {
                const auto& publisher = *processes_[from].publisher_;
                const auto due = now_ + milliseconds(5 + random_below(300));
                control_messages_.push_back({due, to, {publisher.leased_targets(), true}});
                control_messages_.push_back({due, to, {publisher.targets().records(), false}});
            }
        }
    }
}

void distribution_simulation::heal()
{
    trace_event("all faults are removed");
    blocked_.clear();
    for (std::size_t index = 0; index < processes_.size(); ++index) {
        auto& proc = processes_[index];
        proc.restarts_at_ = std::min(proc.restarts_at_, now_);
        if (index < control_count) {
            reconnect_control(index);
        }
        proc.draining_ = false;
    }
}

void distribution_simulation::wait_for_agreement()
{
    auto problem = std::string("not checked yet");
    for (const auto end = now_ + agreement_timeout; now_ < end && violation_.empty();) {
        step();
        problem = disagreement();
        if (problem.empty()) {
            return;
        }
    }
    report_violation("the nodes do not agree after all faults were removed: " + problem);
}

auto distribution_simulation::disagreement() -> std::string
{
    for (const auto& proc : processes_) {
        if (!proc.is_running_) {
            return proc.name_ + " is not running";
        }
        if (!proc.is_node_) {
            continue;
        }
        const auto& enforced = proc.subscriber_->enforced();
        if (!enforced || enforced->version_ != accepted_.back()->version_) {
            return fmt::format("{} enforces {} and not {}", proc.name_,
                               enforced ? enforced->version_.number_ : 0, accepted_.size() - 1);
        }
        const auto rollouts = proc.subscriber_->enforced_rollouts()->sequence_;
        if (rollouts != accepted_.size() - 1) {
            return fmt::format("{} routes by roll-outs {} and not {}", proc.name_, rollouts,
                               accepted_.size() - 1);
        }
        for (const auto& other : processes_) {
            for (const auto& record :
                 other.registry_ ? other.registry_->records() : std::vector<target_record>()) {
                const auto* known = proc.directory_.find(record.service_, record.target_);
                if (known == nullptr || *known != record) {
                    return fmt::format("{} does not know {}: {}", proc.name_, record.target_,
                                       describe_knowledge(record));
                }
            }
        }
    }
    return {};
}

// Describes, for a failure message, which incarnation and sequence of the record each process has.
auto distribution_simulation::describe_knowledge(const target_record& record) const -> std::string
{
    std::string text = fmt::format("announced {}.{}", record.incarnation_, record.sequence_);
    for (const auto& proc : processes_) {
        const auto* known = proc.publisher_
                                ? proc.publisher_->targets().find(record.service_, record.target_)
                                : proc.directory_.find(record.service_, record.target_);
        text +=
            fmt::format(", {} knows {}.{}", proc.name_, known != nullptr ? known->incarnation_ : 0,
                        known != nullptr ? known->sequence_ : 0);
        if (proc.publisher_ && proc.publisher_->stale_targets() > 0) {
            text += fmt::format(" (stale targets: {})", proc.publisher_->stale_targets());
        }
        if (proc.link_) {
            text += " below " + processes_[proc.link_->upper_].name_;
        }
    }
    return text;
}

void distribution_simulation::advance(duration span)
{
    for (const auto end = now_ + span; now_ < end && violation_.empty();) {
        step();
    }
}

void distribution_simulation::check_drain()
{
    if (!violation_.empty()) {
        return;
    }
    advance(silent_connection_timeout);
    auto& drained_node = processes_[control_count + relay_count +
                                    random_below(processes_.size() - control_count - relay_count)];
    drained_node.draining_ = true;
    drained_node.next_announcement_at_ = now_;
    trace_event(fmt::format("{} drains", drained_node.name_));
    advance(drain_deadline);
    const auto routing_node = find_node_routing_to("target-of-" + drained_node.name_);
    if (!routing_node.empty()) {
        report_violation(
            fmt::format("{} still gives work to draining {}", routing_node, drained_node.name_));
    }
    drained_node.draining_ = false;
    drained_node.next_announcement_at_ = now_;
}

// Stops a node for good. Its target must leave the routes, since its service has another target.
void distribution_simulation::check_node_failure()
{
    if (!violation_.empty()) {
        return;
    }
    const auto index = control_count + relay_count;
    trace_event(fmt::format("{} dies", processes_[index].name_));
    stop(index);
    processes_[index].restarts_at_ = instant::max();
    advance(node_failure_detection_deadline);
    const auto routing_node = find_node_routing_to("target-of-" + processes_[index].name_);
    if (!routing_node.empty()) {
        report_violation(
            fmt::format("{} still gives work to dead {}: {}", routing_node, processes_[index].name_,
                        describe_knowledge({.service_ = service_name(index),
                                            .target_ = "target-of-" + processes_[index].name_})));
    }
}

auto distribution_simulation::find_node_routing_to(const std::string& target) const -> std::string
{
    const auto is_wanted_target = [&target](const auto& routed) {
        return routed.record_.target_ == target;
    };
    for (const auto& proc : processes_) {
        if (!proc.is_node_ || !proc.is_running_) {
            continue;
        }
        for (const auto& row : accepted_.back()->rows_) {
            const auto* route = proc.routes_->match(row.path_prefix_);
            if (route != nullptr && std::ranges::any_of(route->targets_, is_wanted_target)) {
                return proc.name_;
            }
        }
    }
    return {};
}

void distribution_simulation::check_enforced(std::size_t index, const table& enforced)
{
    auto& proc = processes_[index];
    auto rows = enforced.rows_;
    if (options_.variant_ == broken_variant::partial_table && !rows.empty()) {
        rows.pop_back();
    }
    const auto number = enforced.version_.number_;
    trace_event(fmt::format("{} enforces {}", proc.name_, number));
    if (number < proc.highest_enforced_) {
        report_violation(
            fmt::format("{} goes back from {} to {}", proc.name_, proc.highest_enforced_, number));
    }
    if (number < proc.accepted_version_at_start_) {
        report_violation(fmt::format("{} enforces {}, older than {} at its start", proc.name_,
                                     number, proc.accepted_version_at_start_));
    }
    if (number >= accepted_.size() || accepted_[number]->version_ != enforced.version_) {
        report_violation(fmt::format("{} enforces {}, which was not accepted", proc.name_, number));
    }
    if (digest_of_rows(rows) != enforced.version_.digest_) {
        report_violation(fmt::format("{} enforces a part of {}", proc.name_, number));
    }
    proc.highest_enforced_ = std::max(proc.highest_enforced_, number);
}

void distribution_simulation::check_routes(std::size_t index)
{
    const auto& proc = processes_[index];
    const auto& table = proc.routes_->table_in_force();
    if (!table) {
        return;
    }
    for (const auto& row : table->rows_) {
        const auto* route = proc.routes_->match(row.path_prefix_);
        if (route == nullptr) {
            report_violation(fmt::format("{} has no route for {}", proc.name_, row.service_));
            return;
        }
        for (const auto& target : route->targets_) {
            const auto* known =
                proc.directory_.find(target.record_.service_, target.record_.target_);
            if (known == nullptr || known->state_ != target_state::up ||
                known->service_ != route->row_->service_) {
                report_violation(fmt::format("{} routes to {}, which is not up", proc.name_,
                                             target.record_.target_));
            }
        }
    }
}

auto distribution_simulation::is_blocked(std::size_t lower, std::size_t upper, bool is_up) const
    -> bool
{
    return blocked_.contains(is_up ? std::pair(lower, upper) : std::pair(upper, lower));
}

auto distribution_simulation::local_time(const process& proc) const -> instant
{
    return now_ + std::max(proc.clock_offset_, duration(0));
}

auto distribution_simulation::random_below(std::uint64_t bound) -> std::size_t
{
    return static_cast<std::size_t>(uniform_below(random_, bound));
}

auto distribution_simulation::one_in(unsigned denominator) -> bool
{
    return random_below(denominator) == 0;
}

void distribution_simulation::trace_event(std::string event)
{
    trace_.push_back(fmt::format("{:8} ms {}", to_milliseconds(now_.time_since_epoch()), event));
    if (trace_.size() > max_trace_events) {
        trace_.pop_front();
    }
}

void distribution_simulation::report_violation(std::string message)
{
    trace_event(message);
    if (violation_.empty()) {
        violation_ = std::move(message);
    }
}

} // namespace sycamorewinch::test
