#include "control/test/error/simulated_group.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/invariant.h"
#include "control/control_command.h"

namespace sycamorewinch::test {

namespace {

constexpr auto step_time = std::chrono::milliseconds(10);
constexpr std::size_t operator_count = 3;
constexpr std::size_t trace_lines = 120;
constexpr std::uint64_t recovery_steps = 1500;
constexpr std::uint64_t process_seed_factor = 7919;

/** The kinds of fault. Each run enables a random subset, so they occur alone and combined. */
enum class fault_kind : std::uint8_t {
    message_loss,
    message_delay,
    duplication,
    partition,
    one_way_partition,
    process_crash,
    group_crash,
    power_loss,
    disk_errors,
    clock_jump,
    pause,
    full_disk,
    lost_disk,
    slow_disk,
    count,
};

/** Thrown by the invariant handler, so that a run can report the violation instead of aborting. */
struct broken_invariant : std::exception {};

std::string last_broken_invariant; // NOLINT(*-avoid-non-const-global-variables)

auto has(std::uint64_t faults, fault_kind kind) -> bool
{
    return (faults >> static_cast<unsigned>(kind) & 1U) != 0;
}

auto draw_faults(const random_hook& random) -> std::uint64_t
{
    const auto count = static_cast<std::uint64_t>(fault_kind::count);
    std::uint64_t faults = 0;
    for (auto remaining = 1 + uniform_below(random, 6); remaining > 0; --remaining) {
        faults |= std::uint64_t{1} << uniform_below(random, count);
    }
    return faults;
}

auto make_row(std::uint64_t service, std::uint64_t value) -> row
{
    row new_row{.service_ = fmt::format("s{}", service),
                .path_prefix_ = fmt::format("/s{}", service)};
    new_row.timeout_ = std::chrono::milliseconds(1 + value);
    return new_row;
}

} // namespace

simulated_group::simulated_group(std::uint64_t seed, broken_variant variant)
    : seed_(seed), variant_(variant), random_(seeded_random(seed)), faults_(draw_faults(random_))
{
    internal::set_broken_invariant_handler([](const std::string& message) {
        last_broken_invariant = message;
        throw broken_invariant();
    });
    const auto size = chance(3) ? 5U : 3U;
    for (std::size_t number = 0; number < size; ++number) {
        names_.emplace_back(1, static_cast<char>('a' + number));
    }
    for (const auto& name : names_) {
        processes_.push_back(std::make_unique<process>(random_));
        processes_.back()->name_ = name;
        processes_.back()->disk_.log_sync_disabled_ =
            variant == broken_variant::writes_are_not_synced;
        start_process(*processes_.back());
    }
    operators_.resize(operator_count);
    for (auto& user : operators_) {
        user.base_ = make_table(0, {}).version_;
    }
}

simulated_group::~simulated_group()
{
    internal::set_broken_invariant_handler({});
}

auto simulated_group::chance(std::uint64_t one_in) const -> bool
{
    return uniform_below(random_, one_in) == 0;
}

auto simulated_group::random_process() -> process&
{
    return *processes_[uniform_below(random_, processes_.size())];
}

auto simulated_group::now_of(const process& process) const -> instant
{
    return now_ + process.clock_offset_;
}

void simulated_group::fail(group_property property, std::string text)
{
    trace("VIOLATION " + text);
    violations_.push_back({property, std::move(text)});
}

void simulated_group::trace(std::string text)
{
    trace_.push_back(fmt::format("{:6} {}", step_, std::move(text)));
    if (trace_.size() > trace_lines) {
        trace_.pop_front();
    }
}

auto simulated_group::is_violated(group_property property) const -> bool
{
    return std::ranges::any_of(
        violations_, [&](const auto& violation) { return violation.property_ == property; });
}

auto simulated_group::report() const -> std::string
{
    auto text = fmt::format("seed {}; replay: SYCAMOREWINCH_SEEDS=1 SYCAMOREWINCH_FROM_SEED={} "
                            "build/release/bin/control_test --run_test=randomised_runs\n",
                            seed_, seed_);
    for (const auto& violation : violations_) {
        text += "violation: " + violation.text_ + "\n";
    }
    for (const auto& line : trace_) {
        text += line + "\n";
    }
    return text;
}

// Processes -----------------------------------------------------------------------------------

auto simulated_group::make_hooks(process& process) -> control_hooks
{
    control_hooks hooks;
    hooks.save_vote_ = [this, &process](const vote_state& vote) {
        return process.store_->save_vote(variant_ == broken_variant::votes_are_not_stored
                                             ? vote_state{0, {}, vote.is_recovered_}
                                             : vote);
    };
    hooks.truncate_after_ = [&process](std::uint64_t index) {
        return process.store_->truncate_after(index);
    };
    hooks.append_ = [&process](const std::vector<log_entry>& entries) {
        return process.store_->append(entries);
    };
    hooks.save_snapshot_ = [&process](const log_snapshot& snapshot,
                                      const std::vector<log_entry>& entries) {
        return process.store_->save_snapshot(snapshot, entries);
    };
    if (has(faults_, fault_kind::slow_disk) ||
        variant_ == broken_variant::writes_are_reported_early) {
        hooks.run_in_background_ = [this, &process](auto write, auto done) {
            begin_write(process, {std::move(write), std::move(done)});
        };
    }
    hooks.reload_ = [&process]() -> result<durable_state> {
        auto store = replica_store::open(process.disk_.open());
        if (!store) {
            return tl::unexpected(store.error());
        }
        process.store_.emplace(std::move(*store));
        return process.store_->take_recovered();
    };
    hooks.snapshot_threshold_bytes_ = 2048;
    hooks.send_ = [this, &process](const raft_message& message) {
        send(process, message);
    };
    hooks.on_table_ = [this, &process](const table_pointer& table) {
        on_table(process, table);
    };
    hooks.on_disk_failure_ = [this, &process](const error& problem) {
        trace(process.name_ + " disk failed: " + problem.message_);
    };
    hooks.request_flush_ = [] {
    };
    hooks.on_committed_ = [this, &process](const log_entry& entry) {
        on_committed(process, entry);
    };
    if (variant_ == broken_variant::outcomes_are_not_retained) {
        hooks.limits_.retained_edits_ = 1;
    }
    return hooks;
}

void simulated_group::start_process(process& process)
{
    ++process.incarnation_;
    process.snapshots_taken_ = 0;
    process.snapshots_installed_ = 0;
    process.version_ = 0;
    if (variant_ == broken_variant::disks_are_wiped && process.incarnation_ > 1) {
        process.disk_.wipe();
        auto store = replica_store::open(process.disk_.open());
        static_cast<void>(store && store->save_vote({0, {}, true}));
    }
    auto store = replica_store::open(process.disk_.open());
    if (!store) {
        if (store.error().kind_ == error_kind::corrupt) {
            fail(group_property::program_invariant, process.name_ + ": " + store.error().message_);
        }
        static_cast<void>(process.disk_.take_crash());
        process.restart_at_ = now_ + std::chrono::milliseconds(200);
        return;
    }
    process.store_.emplace(std::move(*store));
    raft_options options{.self_ = process.name_, .voters_ = names_};
    options.retained_entries_ = 4;
    options.random_ = seeded_random(seed_ * process_seed_factor + process.incarnation_ * 64 +
                                    static_cast<std::uint64_t>(process.name_.front()));
    auto replica = control_replica::create(std::move(options), process.store_->take_recovered(),
                                           make_hooks(process), now_of(process));
    if (!replica) {
        fail(group_property::program_invariant, process.name_ + ": " + replica.error().message_);
        return;
    }
    process.replica_ = std::make_unique<control_replica>(std::move(*replica));
    trace(process.name_ + " starts");
}

void simulated_group::end_process(process& process, bool loses_power)
{
    trace(process.name_ + (loses_power ? " loses power" : " crashes"));
    // The write that is under way may have reached the disk.
    if (process.replica_ && !process.writes_.empty() && chance(2)) {
        static_cast<void>(process.writes_.front().write_());
    }
    process.writes_.clear();
    process.replica_.reset();
    process.store_.reset();
    static_cast<void>(process.disk_.take_crash());
    if (loses_power) {
        process.disk_.lose_power();
    }
    process.restart_at_ = now_ + uniform_between(random_, step_time, std::chrono::seconds(2));
}

void simulated_group::begin_write(process& process, pending_write write)
{
    constexpr auto longest = std::chrono::milliseconds(600);
    write.due_ = now_ + uniform_between(random_, step_time, chance(4) ? longest : 4 * step_time);
    process.writes_.push_back(std::move(write));
}

void simulated_group::finish_writes(process& process)
{
    const auto report = [&](pending_write& write, const result<void>& outcome) {
        if (const auto done = std::exchange(write.done_, nullptr)) {
            run_on_process(process, [&](auto&, instant now) { done(outcome, now); });
        }
    };
    if (variant_ == broken_variant::writes_are_reported_early && !process.writes_.empty()) {
        report(process.writes_.back(), {});
    }
    while (!process.writes_.empty() && process.writes_.front().due_ <= now_) {
        auto write = std::move(process.writes_.front());
        process.writes_.pop_front();
        result<void> outcome;
        run_on_process(process, [&](auto&, instant) { outcome = write.write_(); });
        report(write, outcome);
    }
}

void simulated_group::run_on_process(process& process,
                                     const std::function<void(control_replica&, instant)>& work)
{
    if (!process.replica_) {
        return;
    }
    try {
        work(*process.replica_, now_of(process));
    }
    catch (const broken_invariant&) {
        fail(group_property::program_invariant, process.name_ + ": " + last_broken_invariant);
        end_process(process, false);
        return;
    }
    snapshots_taken_ += process.replica_->snapshots_taken() > process.snapshots_taken_ ? 1 : 0;
    process.snapshots_taken_ = process.replica_->snapshots_taken();
    snapshots_installed_ +=
        process.replica_->snapshots_installed() > process.snapshots_installed_ ? 1 : 0;
    process.snapshots_installed_ = process.replica_->snapshots_installed();
    if (process.disk_.take_crash()) {
        end_process(process, has(faults_, fault_kind::power_loss) && chance(2));
    }
}

void simulated_group::step_process(process& process)
{
    if (!process.replica_ && now_ >= process.restart_at_) {
        start_process(process);
    }
    if (now_ >= process.paused_until_) {
        finish_writes(process);
        run_on_process(process, [](auto& replica, instant now) { replica.tick(now); });
    }
}

// Network -------------------------------------------------------------------------------------

void simulated_group::alter_payloads(raft_message& message) const
{
    for (auto& entry : message.entries_) {
        if (entry.kind_ != entry_kind::command) {
            continue;
        }
        auto envelope = decode_control_command(entry.payload_).value();
        auto command = decode_accept_command(envelope.body_).value();
        for (auto& upsert : command.change_.upserts_) {
            upsert.timeout_ += std::chrono::milliseconds(1);
        }
        envelope.body_ = encode_command(command);
        entry.payload_ = encode_command(envelope);
    }
}

void simulated_group::send(const process& from, const raft_message& message)
{
    if (variant_ == broken_variant::vote_requests_are_dropped &&
        message.kind_ == raft_message_kind::vote_request) {
        return;
    }
    const bool is_lossy = injecting_faults_ && has(faults_, fault_kind::message_loss);
    if (blocked_links_.contains({from.name_, message.to_}) || (is_lossy && chance(10))) {
        return;
    }
    auto copies = injecting_faults_ && has(faults_, fault_kind::duplication) && chance(8) ? 2U : 1U;
    for (; copies > 0; --copies) {
        const bool is_late =
            injecting_faults_ && has(faults_, fault_kind::message_delay) && chance(8);
        const auto latest = std::chrono::milliseconds(is_late ? 1500 : 12);
        auto due = now_ + uniform_between(random_, std::chrono::milliseconds(2), latest);
        auto placed =
            in_flight_messages_.emplace(due, in_flight_message{message, next_sequence_++});
        if (variant_ == broken_variant::payloads_are_altered) {
            alter_payloads(placed->second.message_);
        }
    }
}

void simulated_group::deliver()
{
    std::vector<raft_message> due;
    while (!in_flight_messages_.empty() && in_flight_messages_.begin()->first <= now_) {
        due.push_back(std::move(in_flight_messages_.begin()->second.message_));
        in_flight_messages_.erase(in_flight_messages_.begin());
    }
    for (const auto& message : due) {
        for (auto& process : processes_) {
            if (process->name_ == message.to_ && now_ >= process->paused_until_ &&
                !blocked_links_.contains({message.from_, message.to_})) {
                run_on_process(*process,
                               [&](auto& replica, instant now) { replica.receive(message, now); });
            }
        }
    }
}

// Faults --------------------------------------------------------------------------------------

void simulated_group::inject_network_faults()
{
    if (has(faults_, fault_kind::partition) && chance(150)) {
        const auto& isolated = random_process().name_;
        for (const auto& name : names_) {
            blocked_links_.insert({isolated, name});
            blocked_links_.insert({name, isolated});
        }
        trace(isolated + " is partitioned");
    }
    if (has(faults_, fault_kind::one_way_partition) && chance(150)) {
        const auto& isolated = random_process().name_;
        const bool is_outbound = chance(2);
        for (const auto& name : names_) {
            blocked_links_.insert(is_outbound ? std::pair{isolated, name}
                                              : std::pair{name, isolated});
        }
        trace(isolated + (is_outbound ? " cannot send" : " cannot receive"));
    }
    if (!blocked_links_.empty() && chance(150)) {
        blocked_links_.clear();
        trace("all links are restored");
    }
}

void simulated_group::inject_process_faults()
{
    if (has(faults_, fault_kind::process_crash) && chance(120)) {
        if (auto& process = random_process(); process.replica_) {
            end_process(process, has(faults_, fault_kind::power_loss) && chance(2));
        }
    }
    if (has(faults_, fault_kind::group_crash) && chance(600)) {
        const bool loses_power = has(faults_, fault_kind::power_loss) && chance(2);
        for (auto& process : processes_) {
            end_process(*process, loses_power);
        }
    }
    if (has(faults_, fault_kind::clock_jump) && chance(200)) {
        auto& process = random_process();
        process.clock_offset_ += uniform_between(random_, step_time, std::chrono::seconds(3));
        trace(process.name_ + " clock jumps");
    }
    if (has(faults_, fault_kind::pause) && chance(200)) {
        auto& process = random_process();
        process.paused_until_ =
            now_ + uniform_between(random_, step_time, std::chrono::milliseconds(1500));
        trace(process.name_ + " is paused");
    }
}

void simulated_group::inject_faults()
{
    const bool has_disk_errors = has(faults_, fault_kind::disk_errors);
    for (auto& process : processes_) {
        process->disk_.faults_ = has_disk_errors ? disk_faults{500, 500, 500} : disk_faults{};
    }
    if (has(faults_, fault_kind::lost_disk) && chance(300)) {
        lose_disk();
    }
    if (has(faults_, fault_kind::full_disk) && chance(100)) {
        auto& disk = random_process().disk_;
        disk.is_full_ = !disk.is_full_;
    }
    inject_network_faults();
    inject_process_faults();
}

// A disk is lost only while all replicas have recovered from earlier losses, because accepted edits
// are guaranteed to survive only the loss of fewer disks than a quorum. One whose last write has
// not ended, or has failed, may not have stored that it has recovered.
void simulated_group::lose_disk()
{
    const bool all_count = std::ranges::all_of(processes_, [](const auto& process) {
        return process->replica_ && process->replica_->raft_state().is_recovered() &&
               process->replica_->is_stored();
    });
    if (!all_count) {
        return;
    }
    auto& process = random_process();
    end_process(process, true);
    process.disk_.wipe();
    ++disks_lost_;
    trace(process.name_ + " loses its disk");
}

void simulated_group::end_faults()
{
    trace("all faults end");
    injecting_faults_ = false;
    blocked_links_.clear();
    for (auto& process : processes_) {
        process->disk_.faults_ = {};
        process->disk_.is_full_ = false;
        process->paused_until_ = now_;
    }
}

// Operators -----------------------------------------------------------------------------------

void simulated_group::make_edit(operator_state& user, std::size_t number)
{
    accept_command edit;
    edit.edit_id_ = fmt::format("edit-{}", sent_.size());
    edit.operator_ = fmt::format("operator-{}", number);
    edit.base_ = user.base_;
    edit.change_.upserts_.push_back(make_row(uniform_below(random_, 4), sent_.size()));
    sent_.push_back(edit);
    user.edit_ = std::move(edit);
}

void simulated_group::submit(const accept_command& command)
{
    auto& target = random_process();
    const bool answer_is_lost = injecting_faults_ && chance(6);
    const auto version_before = highest_accepted_;
    run_on_process(target, [&](auto& replica, instant now) {
        replica.accept(
            command,
            [this, command, answer_is_lost, version_before](const auto& outcome) {
                if (!answer_is_lost) {
                    handle_answer(command, version_before, outcome);
                }
            },
            now);
    });
}

void simulated_group::handle_answer(const accept_command& command, std::uint64_t version_before,
                                    const result<accept_outcome>& outcome)
{
    if (!outcome) {
        return; // the outcome is unknown, so the operator resends the edit
    }
    const auto [first, is_new] = first_outcomes_.emplace(command.edit_id_, *outcome);
    if (!is_new && first->second != *outcome) {
        fail(group_property::first_outcome_is_final,
             command.edit_id_ + " got a different outcome when resent");
    }
    if (is_new && outcome->status_ == accept_status::accepted) {
        const auto number = outcome->version_.number_;
        trace(fmt::format("{} accepted as version {}", command.edit_id_, number));
        if (accepted_.contains(number)) {
            fail(group_property::accepted_edits_are_kept,
                 fmt::format("version {} was accepted twice", number));
        }
        accepted_[number] = command.edit_id_;
        highest_accepted_ = std::max(highest_accepted_, number);
    }
    // The base of an edit comes from an earlier answer, so its first outcome cannot report an older
    // version.
    if (is_new && outcome->status_ == accept_status::conflict &&
        command.base_.number_ > outcome->version_.number_) {
        fail(group_property::version_never_decreases,
             fmt::format("{} is based on version {}, but the group is at {} (accepted: {})",
                         command.edit_id_, command.base_.number_, outcome->version_.number_,
                         version_before));
    }
    for (auto& user : operators_) {
        if (user.edit_ && user.edit_->edit_id_ == command.edit_id_) {
            user.edit_.reset();
            user.base_ = outcome->version_;
            user.send_at_ = now_ + uniform_between(random_, step_time, std::chrono::seconds(1));
        }
    }
}

void simulated_group::step_operators()
{
    for (std::size_t number = 0; number < operators_.size(); ++number) {
        auto& user = operators_[number];
        if (now_ < user.send_at_) {
            continue;
        }
        if (!user.edit_) {
            make_edit(user, number);
        }
        user.send_at_ = now_ + std::chrono::milliseconds(100);
        submit(accept_command(*user.edit_));
    }
    if (!sent_.empty() && chance(60)) { // resends an old edit
        submit(accept_command(sent_[uniform_below(random_, sent_.size())]));
    }
    if (chance(10)) {
        request_proof();
    }
}

void simulated_group::request_proof()
{
    auto& process = random_process();
    const auto accepted_before = highest_accepted_;
    const auto check = [this, accepted_before](const result<std::uint64_t>& version) {
        if (version && *version < accepted_before) {
            fail(group_property::proof_is_current,
                 fmt::format("version {} was proved current after {} was acknowledged", *version,
                             accepted_before));
        }
    };
    run_on_process(process, [&](auto& replica, instant now) {
        if (variant_ != broken_variant::proof_without_quorum) {
            replica.prove_current(check, now);
        }
        else if (replica.raft_state().role() == raft_role::leader) {
            check(replica.state().current()->version_.number_);
        }
    });
}

// Checks --------------------------------------------------------------------------------------

void simulated_group::check_leaders()
{
    for (const auto& process : processes_) {
        if (!process->replica_ || process->replica_->raft_state().role() != raft_role::leader) {
            continue;
        }
        const auto term = process->replica_->raft_state().term();
        const auto [known, is_new] = leaders_.emplace(term, process->name_);
        if (is_new) {
            trace(fmt::format("{} leads term {}", process->name_, term));
        }
        if (known->second != process->name_) {
            fail(
                group_property::one_leader_per_term,
                fmt::format("term {} is led by {} and by {}", term, known->second, process->name_));
            known->second = process->name_;
        }
    }
}

void simulated_group::on_committed(const process& process, const log_entry& entry)
{
    const auto [known, is_new] = committed_.emplace(entry.index_, entry);
    if (!is_new && known->second != entry) {
        fail(group_property::committed_entries_never_change,
             fmt::format("{} commits a different entry {} (term {} instead of {})", process.name_,
                         entry.index_, entry.term_, known->second.term_));
    }
}

void simulated_group::on_table(process& process, const table_pointer& table)
{
    const auto& version = table->version_;
    const auto [known, is_new] = tables_.emplace(version.number_, version.digest_);
    if (!is_new && known->second != version.digest_) {
        fail(group_property::one_table_per_version,
             fmt::format("{} has a different table as version {}", process.name_, version.number_));
    }
    if (version.number_ <= process.version_) {
        fail(group_property::version_never_decreases,
             fmt::format("{} goes from version {} to {}", process.name_, process.version_,
                         version.number_));
    }
    process.version_ = version.number_;
}

void simulated_group::check_recovered()
{
    const auto highest = tables_.empty() ? 0 : tables_.rbegin()->first;
    for (const auto& process : processes_) {
        if (!process->replica_ || process->version_ != highest) {
            fail(group_property::group_recovers,
                 fmt::format("{} is at version {} of {} after all faults ended", process->name_,
                             process->version_, highest));
            continue;
        }
        for (const auto& [version, edit_id] : accepted_) {
            const auto outcome = process->replica_->state().outcome_of(edit_id);
            if (!outcome || outcome->version_.number_ != version) {
                fail(group_property::accepted_edits_are_kept,
                     fmt::format("{} lost {}, accepted as version {}", process->name_, edit_id,
                                 version));
            }
        }
    }
    if (leaders_.empty()) {
        fail(group_property::group_recovers, "no leader was ever elected");
    }
}

void simulated_group::step()
{
    now_ += step_time;
    ++step_;
    if (injecting_faults_) {
        inject_faults();
    }
    deliver();
    check_leaders();
    for (auto& process : processes_) {
        run_on_process(*process, [](auto& replica, instant) { replica.flush(); });
        step_process(*process);
    }
    check_leaders();
}

// A broken variant runs on after a violation, because one fault may violate several properties in
// turn.
auto simulated_group::should_continue() const -> bool
{
    constexpr std::size_t max_violations = 50;
    return variant_ == broken_variant::none ? violations_.empty()
                                            : violations_.size() < max_violations;
}

void simulated_group::run(std::uint64_t steps)
{
    for (std::uint64_t remaining = steps; remaining > 0 && should_continue(); --remaining) {
        step();
        step_operators();
    }
    end_faults();
    for (std::uint64_t remaining = recovery_steps; remaining > 0 && should_continue();
         --remaining) {
        step();
        if (remaining > recovery_steps / 2) {
            step_operators();
        }
    }
    if (violations_.empty() || variant_ != broken_variant::none) {
        check_recovered();
    }
}

} // namespace sycamorewinch::test
