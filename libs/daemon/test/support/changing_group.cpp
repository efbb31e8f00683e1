#include "daemon/test/support/changing_group.h"

#include <algorithm>

#include <fmt/core.h>
#include <fmt/format.h>

#include "base/invariant.h"
#include "control/control_command.h"
#include "observability/log.h"

namespace sycamorewinch::test {

namespace {

constexpr duration step_time = std::chrono::milliseconds(10);
constexpr duration heartbeat = std::chrono::milliseconds(200);
constexpr int heartbeats_per_lease = 5;
constexpr duration maintenance_period = std::chrono::milliseconds(200);
constexpr duration group_tick_period = std::chrono::milliseconds(40);
constexpr duration edit_period = std::chrono::milliseconds(100);
/** From the end of a process's part in the group to its own, on a slow machine. */
constexpr duration last_messages_time = std::chrono::milliseconds(300);

// The bounds of the platform.
constexpr duration grace_period = std::chrono::seconds(6);
/** This long after the last change the group is stable, and accepts edits within ack_time. */
constexpr duration touch_time = std::chrono::seconds(3);
constexpr duration ack_time = std::chrono::seconds(4);
constexpr duration recovery_time = std::chrono::seconds(15);

constexpr std::size_t trace_lines = 80;
constexpr std::uint64_t random_seed_factor = 7919;

/** Thrown when an invariant of the code under test is broken. */
struct broken_invariant : std::runtime_error {
    using std::runtime_error::runtime_error;
};

auto address_of(machine_id id) -> std::string
{
    return fmt::format("127.0.0.{}:7000", id + 1);
}

} // namespace

changing_group::changing_group(changing_group_options options)
    : options_(options), random_(seeded_random(options.seed_))
{
    set_log_level(log_level::error);
    internal::set_broken_invariant_handler(
        [](const std::string& message) { throw broken_invariant(message); });
    for (std::size_t number = 0; number < options_.founding_machines_; ++number) {
        machines_.emplace_back().address_ = address_of(number);
    }
    std::vector<std::string> founders;
    for (const auto& seed : seeds()) {
        founders.push_back(to_text(seed));
    }
    const log_entry first{1, 1, entry_kind::membership, encode_membership({founders, {}})};
    for (auto& machine : machines_) {
        if (std::ranges::find(founders, machine.address_) != founders.end()) {
            machine.name_ = machine.address_;
            machine.disk_.vote_ = {1, {}, true};
            machine.disk_.entries_ = {first};
        }
        start(machine);
    }
    run(std::chrono::seconds(8));
    changes_.clear();
}

changing_group::~changing_group()
{
    internal::set_broken_invariant_handler({});
    set_log_level(log_level::info);
}

auto changing_group::violation() const -> std::string
{
    if (violation_.empty()) {
        return {};
    }
    return fmt::format("seed {}: {}\n{}", options_.seed_, violation_, fmt::join(trace_, "\n"));
}

void changing_group::fail(const std::string& text)
{
    trace("VIOLATION " + text);
    if (violation_.empty()) {
        violation_ = text;
    }
}

void changing_group::trace(std::string text)
{
    trace_.push_back(fmt::format("{:9.2f} {}", to_milliseconds(now_.time_since_epoch()) / 1000.0,
                                 std::move(text)));
    if (trace_.size() > trace_lines) {
        trace_.pop_front();
    }
}

// Machines ------------------------------------------------------------------------------------

/** Returns the first three machines that run: what the platform tells a process that starts. */
auto changing_group::seeds() const -> std::vector<peer_address>
{
    constexpr std::size_t seed_count = 3;
    std::vector<peer_address> seeds;
    for (const auto& machine : machines_) {
        if (!machine.is_removed_ && seeds.size() < seed_count) {
            seeds.push_back(parse_peer_address(machine.address_).value());
        }
    }
    return seeds;
}

auto changing_group::make_hooks(machine& machine) -> control_hooks
{
    control_hooks hooks;
    auto& disk = machine.disk_;
    hooks.save_vote_ = [&disk](const vote_state& vote) -> result<void> {
        disk.vote_ = vote;
        return {};
    };
    hooks.truncate_after_ = [&disk](std::uint64_t index) -> result<void> {
        std::erase_if(disk.entries_, [&](const auto& entry) { return entry.index_ > index; });
        return {};
    };
    hooks.append_ = [&disk](const std::vector<log_entry>& entries) -> result<void> {
        disk.entries_.insert(disk.entries_.end(), entries.begin(), entries.end());
        return {};
    };
    hooks.save_snapshot_ = [&disk](const log_snapshot& snapshot,
                                   const std::vector<log_entry>& entries) -> result<void> {
        disk.snapshot_ = snapshot;
        disk.entries_ = entries;
        return {};
    };
    if (options_.sync_time_ > duration::zero()) {
        hooks.run_in_background_ = [this, &machine](auto write, auto done) {
            const auto time =
                uniform_between(random_, options_.sync_time_, 2 * options_.sync_time_);
            machine.write_ = {std::move(write), std::move(done), now_ + time};
        };
    }
    hooks.send_ = [this, &machine](const raft_message& content) {
        send(machine, content.to_, content);
    };
    hooks.on_table_ = [](const table_pointer&) {
    };
    hooks.on_disk_failure_ = [](const error&) {
    };
    hooks.on_election_ = [this, &machine](const election_event& event) {
        trace(fmt::format("{} {} in term {} {} {}", machine.name_, name_of(event.kind_),
                          event.term_, event.peer_, name_of(event.reason_)));
    };
    hooks.on_committed_ = [this, &machine](const log_entry& entry) {
        on_committed(machine, entry);
    };
    hooks.snapshot_threshold_bytes_ = 8192;
    return hooks;
}

void changing_group::start(machine& machine)
{
    if (machine.name_.empty()) {
        machine.name_ = fmt::format("{}/{:08x}", machine.address_, random_() & 0xffffffffU);
    }
    raft_options options{.self_ = machine.name_};
    options.heartbeat_ = heartbeat;
    options.lease_ = heartbeat * heartbeats_per_lease;
    options.random_ = seeded_random(random_() * random_seed_factor);
    options.retained_entries_ = 32;
    machine.replica_ = std::make_unique<control_replica>(
        control_replica::create(std::move(options), machine.disk_, make_hooks(machine), now_)
            .value());
    daemon_settings settings;
    settings.control_seeds_ = seeds();
    settings.tolerated_losses_ = options_.tolerated_losses_;
    control_group_hooks hooks;
    hooks.replica_ = [&machine]() -> control_replica& {
        return *machine.replica_;
    };
    hooks.connect_to_ = [](const auto&) {
    };
    hooks.send_join_ = [this, &machine](const auto& to, const auto& candidate) {
        if (machine.has_left_ && candidate == machine.name_) {
            fail(machine.name_ + " asks to join after it has left");
        }
        send(machine, to, join_message{candidate});
    };
    hooks.send_leave_ = [this, &machine](const auto& to, const auto& member) {
        send(machine, to, leave_message{member});
    };
    hooks.send_leave_granted_ = [this, &machine](const auto& to) {
        send(machine, to, leave_granted_message{});
    };
    machine.group_ = std::make_unique<control_group>(settings, std::move(hooks), now_);
    machine.next_maintenance_ = now_;
    machine.running_since_ = now_;
    machine.is_down_ = false;
    machine.is_leaving_ = false;
    machine.has_left_ = false;
    trace(machine.name_ + " starts");
}

void changing_group::end(machine& machine)
{
    machine.write_.reset();
    machine.group_.reset();
    machine.replica_.reset();
    machine.is_down_ = true;
    machine.is_leaving_ = false;
    machine.starts_at_ = instant::max();
    changed_at_ = std::max(changed_at_, now_);
}

auto changing_group::add_machine() -> machine_id
{
    const auto id = machines_.size();
    machines_.emplace_back().address_ = address_of(id);
    record_change("add", id);
    start(machines_.back());
    return id;
}

void changing_group::begin_leaving(machine& machine)
{
    machine.is_leaving_ = true;
    machine.killed_at_ = now_ + grace_period;
    machine.group_->leave(
        [this, &machine] {
            machine.has_left_ = true;
            machine.ends_at_ = now_ + last_messages_time;
        },
        now_);
}

void changing_group::finish_leaving(machine& machine)
{
    trace(machine.name_ + (machine.has_left_ ? " ends" : " is killed after its grace period"));
    end(machine);
    if (machine.restarts_) {
        machine.starts_at_ = now_ + std::chrono::milliseconds(300);
    }
    else {
        machine.is_removed_ = true;
    }
}

void changing_group::finish_write(machine& machine)
{
    if (!machine.write_ || now_ < machine.write_->due_) {
        return;
    }
    const auto write = std::exchange(machine.write_, std::nullopt);
    write->done_(write->write_(), now_);
}

void changing_group::terminate(machine_id id)
{
    record_change("terminate", id);
    ++removed_count_;
    machines_[id].restarts_ = false;
    begin_leaving(machines_[id]);
}

void changing_group::restart_gracefully(machine_id id)
{
    record_change("restart", id);
    machines_[id].restarts_ = true;
    begin_leaving(machines_[id]);
}

void changing_group::remove_silently(machine_id id)
{
    record_change("remove silently", id);
    ++removed_count_;
    silent_removals_.push_back(now_);
    end(machines_[id]);
    machines_[id].is_removed_ = true;
}

void changing_group::kill(machine_id id, duration down)
{
    record_change("kill", id);
    end(machines_[id]);
    machines_[id].starts_at_ = now_ + down;
    changed_at_ = now_ + down;
}

void changing_group::lose_disk(machine_id id, duration down)
{
    record_change("lose disk", id);
    auto& machine = machines_[id];
    end(machine);
    machine.disk_ = {};
    machine.name_.clear();
    machine.starts_at_ = now_ + down;
    changed_at_ = now_ + down;
}

void changing_group::pause(machine_id id, duration time)
{
    record_change("pause", id);
    machines_[id].paused_until_ = now_ + time;
    machines_[id].running_since_ = now_ + time;
    changed_at_ = now_ + time;
}

void changing_group::cut_off(machine_id id, duration time)
{
    record_change("cut off", id);
    machines_[id].cut_until_ = now_ + time;
    machines_[id].running_since_ = now_ + time;
    changed_at_ = now_ + time;
}

void changing_group::record_change(const std::string& kind, machine_id id)
{
    const auto leading = leader();
    trace(
        fmt::format("{} {}{}", kind, machines_[id].address_, leading == id ? ", the leader" : ""));
    ++changes_[kind];
    changed_at_ = std::max(changed_at_, now_);
}

auto changing_group::is_operable(const machine& machine) const -> bool
{
    return !machine.is_down_ && now_ >= machine.paused_until_;
}

auto changing_group::is_running(machine_id id) const -> bool
{
    return !machines_[id].is_down_;
}

auto changing_group::leader() const -> std::optional<machine_id>
{
    std::optional<machine_id> latest;
    for (machine_id id = 0; id < machines_.size(); ++id) {
        const auto& machine = machines_[id];
        const bool leads =
            is_operable(machine) && machine.replica_->raft_state().role() == raft_role::leader;
        if (leads && (!latest || machine.replica_->raft_state().term() >
                                     machines_[*latest].replica_->raft_state().term())) {
            latest = id;
        }
    }
    return latest;
}

auto changing_group::voter_count() const -> std::size_t
{
    const auto leading = leader();
    return leading ? machines_[*leading].replica_->raft_state().membership().voters_.size() : 0;
}

// Network -------------------------------------------------------------------------------------

void changing_group::send(const machine& from, const std::string& to, message_content content)
{
    const auto due = now_ + uniform_between(random_, std::chrono::milliseconds(2),
                                            std::chrono::milliseconds(12));
    in_flight_.emplace(due, message{from.address_, to, std::move(content)});
}

void changing_group::deliver()
{
    std::vector<message> due;
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
        due.push_back(std::move(in_flight_.begin()->second));
        in_flight_.erase(in_flight_.begin());
    }
    for (const auto& message : due) {
        const auto address = replica_address_of(message.to_);
        const auto find = [this](const auto& wanted) {
            return std::ranges::find(machines_, wanted, &machine::address_);
        };
        const auto to = find(address);
        const auto from = find(message.from_);
        if (to == machines_.end() || to->is_down_ || now_ < to->cut_until_ ||
            now_ < from->cut_until_) {
            continue;
        }
        if (now_ < to->paused_until_) { // the system of the machine keeps what arrives
            in_flight_.emplace(to->paused_until_, message);
            continue;
        }
        receive(*to, message);
    }
}

void changing_group::receive(machine& machine, const message& message)
{
    if (const auto* raft = std::get_if<raft_message>(&message.content_)) {
        machine.replica_->receive(*raft, now_);
    }
    else if (const auto* join = std::get_if<join_message>(&message.content_)) {
        machine.group_->on_join(join->candidate_, now_);
    }
    else if (const auto* leave = std::get_if<leave_message>(&message.content_)) {
        machine.group_->on_leave(leave->member_, now_);
    }
    else if (message.to_ == machine.name_) {
        machine.group_->on_leave_granted();
    }
}

// The operator --------------------------------------------------------------------------------

void changing_group::step_operator()
{
    const auto leading = leader();
    if (now_ < next_edit_ || !leading) {
        return;
    }
    next_edit_ = now_ + edit_period;
    auto& replica = *machines_[*leading].replica_;
    if (!edit_) {
        accept_command edit;
        edit.edit_id_ = fmt::format("edit-{}", edit_count_++);
        edit.operator_ = "operator";
        edit.base_ = replica.state().current()->version_;
        row changed{.service_ = "s", .path_prefix_ = "/s"};
        changed.timeout_ = std::chrono::milliseconds(edit_count_);
        edit.change_.upserts_.push_back(std::move(changed));
        edit_ = std::move(edit);
    }
    replica.accept(
        accept_command(*edit_),
        [this, id = edit_->edit_id_](const result<accept_outcome>& outcome) {
            if (!outcome) {
                return; // unknown; the edit is sent again
            }
            if (outcome->status_ == accept_status::accepted) {
                accepted_[id] = outcome->version_;
                accepted_at_ = now_;
            }
            if (edit_ && edit_->edit_id_ == id) {
                edit_.reset();
            }
        },
        now_);
}

// Steps and checks ----------------------------------------------------------------------------

void changing_group::step_machine(machine& machine)
{
    if (machine.is_down_) {
        if (!machine.is_removed_ && now_ >= machine.starts_at_) {
            start(machine);
        }
        return;
    }
    const bool has_ended = machine.has_left_ && now_ >= machine.ends_at_;
    if (machine.is_leaving_ && (has_ended || now_ >= machine.killed_at_)) {
        finish_leaving(machine);
        return;
    }
    if (!is_operable(machine)) {
        return;
    }
    finish_write(machine);
    machine.replica_->tick(now_);
    if (now_ >= machine.next_tick_) {
        machine.next_tick_ = now_ + group_tick_period;
        machine.group_->tick(now_);
    }
    if (now_ >= machine.next_maintenance_) {
        machine.next_maintenance_ = now_ + maintenance_period;
        machine.group_->maintain(now_);
    }
}

void changing_group::step()
{
    now_ += step_time;
    try {
        deliver();
        for (auto& machine : machines_) {
            step_machine(machine);
        }
        step_operator();
    }
    catch (const broken_invariant& broken) {
        fail(std::string("broken invariant: ") + broken.what());
        return;
    }
    check_leaders();
    check_progress();
}

void changing_group::check_leaders()
{
    for (const auto& machine : machines_) {
        if (machine.is_down_ || machine.replica_->raft_state().role() != raft_role::leader) {
            continue;
        }
        const auto term = machine.replica_->raft_state().term();
        const auto [known, is_new] = leaders_.emplace(term, machine.name_);
        if (is_new) {
            trace(fmt::format("{} leads term {}", machine.name_, term));
        }
        if (known->second != machine.name_) {
            fail(fmt::format("term {} is led by {} and by {}", term, known->second, machine.name_));
        }
    }
}

void changing_group::check_progress()
{
    if (leader()) {
        led_at_ = now_;
    }
    longest_time_without_leader_ = std::max(longest_time_without_leader_, now_ - led_at_);
    if (now_ - led_at_ >= recovery_time) {
        fail("there is no leader");
    }
    // Once an event has passed, the group has to accept edits again.
    const bool is_stable = now_ - changed_at_ >= touch_time + ack_time;
    if (is_stable && now_ - accepted_at_ >= ack_time) {
        fail("no edit is accepted though the group is stable");
    }
}

void changing_group::on_committed(const machine& machine, const log_entry& entry)
{
    const auto [known, is_new] = committed_.emplace(entry.index_, entry);
    if (!is_new && known->second != entry) {
        fail(fmt::format("{} commits another entry {} (term {} instead of {})", machine.name_,
                         entry.index_, entry.term_, known->second.term_));
    }
    if (is_new && entry.kind_ == entry_kind::membership) {
        const auto membership = decode_membership(entry.payload_).value();
        trace(fmt::format("committed: voters {}; learners {}", fmt::join(membership.voters_, " "),
                          fmt::join(membership.learners_, " ")));
    }
}

void changing_group::run(duration time)
{
    for (const auto end = now_ + time; now_ < end && violation_.empty();) {
        step();
    }
}

void changing_group::check_recovered()
{
    run(recovery_time);
    if (!violation_.empty()) {
        return;
    }
    const auto leading = leader();
    if (!leading || now_ - accepted_at_ >= ack_time) {
        fail("the group does not accept edits after all changes have ended");
        return;
    }
    const auto& membership = machines_[*leading].replica_->raft_state().membership();
    if (membership.voters_.size() < voters_to_tolerate(options_.tolerated_losses_)) {
        fail("the group has too few voters after all changes have ended");
    }
    for (const auto& machine : machines_) {
        if (machine.is_down_ || !membership.is_voter(machine.name_)) {
            continue;
        }
        const auto newest = machine.replica_->state().current()->version_.number_;
        for (const auto& [id, version] : accepted_) {
            const auto outcome = machine.replica_->state().outcome_of(id);
            // A follower may not have applied the latest edits yet.
            if (version.number_ <= newest && (!outcome || outcome->version_ != version)) {
                fail(fmt::format("{} has lost {}, accepted as version {}", machine.name_, id,
                                 version.number_));
            }
        }
        const auto& leading_replica = *machines_[*leading].replica_;
        if (newest + 20 < leading_replica.state().current()->version_.number_) {
            fail(machine.name_ + " does not follow the leader");
        }
    }
}

} // namespace sycamorewinch::test
