#include "distribution_simulation.h"

#include <algorithm>

#include <fmt/core.h>

namespace sycamorewinch::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_length = milliseconds(20);
constexpr std::size_t control_count = 3;
constexpr std::size_t relay_count = 2;
constexpr std::size_t node_count = 8;
constexpr std::size_t service_count = 6;
constexpr duration retransmission_delay = milliseconds(200);
constexpr duration heartbeat_timeout = seconds(6);

/** Returns the set of roll-outs that was accepted together with the table version \p sequence. None
 * is running, since subscribers then request proofs more often, which hides late ones. */
auto make_rollouts(std::uint64_t sequence) -> rollout_set
{
    return {sequence, {{"service-0", "2", sequence, rollout_state::completed, 0}}};
}

} // namespace

auto service_name(std::size_t index) -> std::string
{
    return fmt::format("service-{}", index);
}

distribution_simulation::distribution_simulation(simulation_options options)
    : options_(options), random_(seeded_random(options.seed_))
{
    accepted_.push_back(std::make_shared<const table>(make_table(0, {})));
    for (std::size_t index = 0; index < control_count; ++index) {
        add_process(fmt::format("control-{}", index), {});
    }
    std::vector<std::size_t> controls{0, 1, 2};
    for (std::size_t index = 0; index < relay_count; ++index) {
        add_process(fmt::format("relay-{}", index), controls);
    }
    for (std::size_t index = 0; index < node_count; ++index) {
        add_process(fmt::format("node-{}", index), {3, 4, index % control_count});
    }
    accept_version();
}

void distribution_simulation::add_process(std::string name, std::vector<std::size_t> upstreams)
{
    auto& proc = processes_.emplace_back();
    proc.name_ = std::move(name);
    proc.is_control_ = upstreams.empty();
    proc.is_node_ = proc.name_.starts_with("node");
    proc.upstreams_ = std::move(upstreams);
}

void distribution_simulation::start(process& proc)
{
    proc.is_running_ = true;
    proc.accepted_version_at_start_ = accepted_.size() - 1;
    if (!proc.is_node_) {
        proc.publisher_.emplace();
    }
    if (proc.is_control_) {
        proc.proof_due_at_ = instant::max();
        proc.publisher_->set_table(accepted_[proc.applied_version_]);
        exchange_targets();
        return;
    }
    subscriber_options options{proc.name_, "zone", !proc.is_node_, random_};
    options.proof_timeout_ = proc.is_node_ ? seconds(8) : seconds(4);
    if (options_.variant_ == broken_variant::never_leaves_stale_upstream) {
        options.proof_timeout_ = std::chrono::hours(24);
    }
    proc.subscriber_.emplace(std::move(options));
    proc.current_upstream_ = random_below(proc.upstreams_.size());
    proc.next_dial_at_ = now_ + milliseconds(random_below(100));
    proc.previous_upstream_.reset();
    if (proc.is_node_) {
        const auto wall = (now_ + proc.clock_offset_).time_since_epoch() + std::chrono::hours(24);
        proc.registry_.emplace("zone", "address-of-" + proc.name_,
                               static_cast<std::uint64_t>(to_milliseconds(wall)));
        proc.directory_ = {};
        proc.draining_ = false;
        proc.next_announcement_at_ = now_;
        proc.routes_ = route_table::create(nullptr, {});
    }
}

void distribution_simulation::stop(std::size_t index)
{
    auto& proc = processes_[index];
    proc.is_running_ = false;
    close_from_subscriber(index);
    for (const auto& link : links_) {
        if (link->upper_ == index && link->is_upper_open_) {
            link->is_upper_open_ = false;
            // The lower end is notified immediately or, if the link is silent or blocked, never.
            if (link->is_lower_open_ && !link->is_silent_ &&
                !is_blocked(link->lower_, index, false)) {
                close_from_subscriber(link->lower_);
            }
        }
    }
    proc.publisher_.reset();
    proc.subscriber_.reset();
    proc.registry_.reset();
}

void distribution_simulation::accept_version()
{
    auto rows = accepted_.back()->rows_;
    const auto service = service_name(random_below(service_count));
    const auto found = std::ranges::find(rows, service, &row::service_);
    if (found == rows.end()) {
        row added{.service_ = service, .path_prefix_ = "/" + service};
        added.retries_ = static_cast<std::uint32_t>(random_below(100));
        rows.push_back(added);
    }
    else if (one_in(4)) {
        rows.erase(found);
    }
    else {
        found->retries_ = static_cast<std::uint32_t>(random_below(100));
    }
    accepted_.push_back(std::make_shared<const table>(make_table(accepted_.size(), rows)));
}

void distribution_simulation::run()
{
    for (auto& proc : processes_) {
        start(proc);
    }
    for (int steps_done = 0; steps_done < options_.steps_ && violation_.empty(); ++steps_done) {
        inject_fault();
        step();
    }
    heal();
    wait_for_agreement();
    check_drain();
    check_node_failure();
}

void distribution_simulation::step()
{
    now_ += step_length;
    for (std::size_t index = 0; index < processes_.size(); ++index) {
        auto& proc = processes_[index];
        if (!proc.is_running_) {
            if (proc.restarts_at_ <= now_) {
                trace_event(fmt::format("{} starts", proc.name_));
                start(proc);
            }
            continue;
        }
        if (proc.is_control_) {
            step_control(index);
        }
        else {
            step_subscriber(index);
        }
        if (proc.is_node_) {
            step_targets(index);
        }
    }
    const auto links = links_;
    for (const auto& link : links) {
        step_link(*link);
    }
    std::erase_if(links_,
                  [](const auto& link) { return !link->is_lower_open_ && !link->is_upper_open_; });
}

void distribution_simulation::prove(process& proc, std::size_t version)
{
    const bool is_broken = options_.variant_ == broken_variant::rollouts_not_proved;
    proc.publisher_->on_proof(version, is_broken ? 0 : version);
}

void distribution_simulation::check_rollouts(std::size_t index)
{
    auto& proc = processes_[index];
    const auto sequence = proc.subscriber_->enforced_rollouts()->sequence_;
    const auto required =
        std::max<std::uint64_t>(proc.highest_rollouts_, proc.accepted_version_at_start_);
    if (sequence < required) {
        report_violation(fmt::format("{} routes by roll-outs {}, older than {}", proc.name_,
                                     sequence, required));
    }
    proc.highest_rollouts_ = std::max(proc.highest_rollouts_, sequence);
}

void distribution_simulation::step_control(std::size_t index)
{
    auto& proc = processes_[index];
    // One step after the table, so that each of them may be the one that is missing.
    proc.publisher_->set_rollouts(make_rollouts(proc.applied_version_));
    if (!proc.is_isolated_ && proc.applied_version_ + 1 < accepted_.size() && one_in(3)) {
        // A follower that was behind catches up by any number of versions at once.
        proc.applied_version_ += 1 + random_below(accepted_.size() - 1 - proc.applied_version_);
        proc.publisher_->set_table(accepted_[proc.applied_version_]);
    }
    if (proc.proof_due_at_ <= now_) {
        proc.proof_due_at_ = instant::max();
        if (!proc.is_isolated_) {
            prove(proc, accepted_.size() - 1);
        }
        else if (options_.variant_ == broken_variant::proof_without_quorum) {
            prove(proc, proc.applied_version_);
        }
        else {
            proc.publisher_->on_proof_failed();
        }
    }
    for (auto& message : control_messages_) {
        if (message.to_ == index && message.due_ <= now_) {
            message.due_ = instant::max();
            if (!proc.is_isolated_) {
                proc.publisher_->merge_targets(message.report_);
            }
        }
    }
    std::erase_if(control_messages_,
                  [](const auto& message) { return message.due_ == instant::max(); });
    if (options_.variant_ != broken_variant::leases_never_end) {
        proc.publisher_->tick(local_time(proc), !proc.is_isolated_);
    }
    process_publisher_output(index);
}

void distribution_simulation::step_subscriber(std::size_t index)
{
    auto& proc = processes_[index];
    if (!proc.link_ && proc.next_dial_at_ <= now_) {
        dial(index);
    }
    proc.subscriber_->tick(local_time(proc));
    process_subscriber_output(index);
    if (proc.publisher_ && options_.variant_ != broken_variant::leases_never_end) {
        proc.publisher_->tick(local_time(proc), proc.link_ != nullptr);
        process_publisher_output(index);
    }
}

void distribution_simulation::step_targets(std::size_t index)
{
    auto& proc = processes_[index];
    if (!proc.is_running_ || proc.next_announcement_at_ > now_) {
        return;
    }
    proc.next_announcement_at_ = now_ + seconds(1);
    target_announcement announcement{.service_ = service_name(index % service_count),
                                     .target_ = "target-of-" + proc.name_};
    announcement.lease_ = seconds(5);
    announcement.slots_ = 10;
    announcement.draining_ = proc.draining_;
    if (proc.registry_->announce(announcement, local_time(proc))) {
        propagate_changes(index, proc.registry_->records());
    }
    propagate_changes(index, proc.registry_->expire(local_time(proc)));
}

void distribution_simulation::dial(std::size_t index)
{
    auto& proc = processes_[index];
    const auto upper = proc.upstreams_[proc.current_upstream_];
    if (is_blocked(index, upper, true) || is_blocked(index, upper, false)) {
        proc.next_dial_at_ = now_ + seconds(3);
        proc.current_upstream_ = (proc.current_upstream_ + 1) % proc.upstreams_.size();
        return;
    }
    if (!processes_[upper].is_running_) {
        proc.next_dial_at_ = now_ + milliseconds(50 + random_below(450));
        proc.current_upstream_ = (proc.current_upstream_ + 1) % proc.upstreams_.size();
        return;
    }
    proc.link_ = std::make_shared<link>();
    proc.link_->lower_ = index;
    proc.link_->upper_ = upper;
    proc.link_->id_ = next_id_++;
    links_.push_back(proc.link_);
    proc.subscriber_->on_connected(local_time(proc));
    if (proc.is_node_) {
        if (proc.previous_upstream_ && *proc.previous_upstream_ != upper) {
            proc.registry_->renew();
            for (const auto& record : proc.registry_->records()) {
                proc.directory_.merge(record);
            }
        }
        proc.previous_upstream_ = upper;
        proc.subscriber_->report_targets({proc.registry_->records(), true});
        proc.subscriber_->report_summary(proc.directory_.digests());
        const auto& enforced = proc.subscriber_->enforced();
        proc.subscriber_->report_progress(
            {{"zone", 1, enforced ? enforced->version_.number_ : 0, 1, {proc.name_}}});
    }
    else {
        proc.subscriber_->report_targets({proc.publisher_->leased_targets(), true});
        proc.subscriber_->report_summary(proc.publisher_->targets().digests());
        proc.subscriber_->report_progress(proc.publisher_->progress());
    }
}

void distribution_simulation::close_from_subscriber(std::size_t index)
{
    auto& proc = processes_[index];
    if (!proc.link_) {
        return;
    }
    const auto link = std::exchange(proc.link_, nullptr);
    link->is_lower_open_ = false;
    const auto is_notified = !link->is_silent_ && !is_blocked(index, link->upper_, true);
    link->upper_closes_at_ = now_ + (is_notified ? duration(milliseconds(5)) : heartbeat_timeout);
    if (proc.subscriber_) {
        proc.subscriber_->on_disconnected();
    }
    proc.current_upstream_ = (proc.current_upstream_ + 1) % proc.upstreams_.size();
    proc.next_dial_at_ = now_ + milliseconds(50 + random_below(400));
}

void distribution_simulation::step_link(link& connection)
{
    while (connection.is_upper_open_ && !connection.up_.empty() &&
           connection.up_.front().due_ <= now_) {
        const auto bytes = std::move(connection.up_.front().bytes_);
        connection.up_.pop_front();
        deliver_up(connection, bytes);
    }
    while (connection.is_lower_open_ && !connection.down_.empty() &&
           connection.down_.front().due_ <= now_) {
        const auto bytes = std::move(connection.down_.front().bytes_);
        connection.down_.pop_front();
        deliver_down(connection, bytes);
    }
    const auto is_passable = !connection.is_silent_ &&
                             !is_blocked(connection.lower_, connection.upper_, true) &&
                             !is_blocked(connection.lower_, connection.upper_, false);
    if (connection.is_lower_open_ && connection.has_lost_data_ && is_passable) {
        close_from_subscriber(connection.lower_);
    }
    if (connection.is_upper_open_ && connection.upper_closes_at_ <= now_) {
        connection.is_upper_open_ = false;
        processes_[connection.upper_].publisher_->on_subscriber_disconnected(connection.id_);
        process_publisher_output(connection.upper_);
    }
}

void distribution_simulation::enqueue(link& connection, bool is_up, std::string bytes)
{
    // A connection delivers in order and without gaps: after a loss, nothing sent later arrives.
    if (connection.has_lost_data_ || connection.is_silent_ ||
        is_blocked(connection.lower_, connection.upper_, is_up)) {
        connection.has_lost_data_ = true;
        return;
    }
    auto& queue = is_up ? connection.up_ : connection.down_;
    auto due = now_ + milliseconds(2 + random_below(20));
    if (one_in(20)) {
        due += retransmission_delay;
    }
    if (!queue.empty()) {
        due = std::max(due, queue.back().due_); // preserve the order within a connection
    }
    if (one_in(50)) {
        queue.push_back({due, bytes}); // duplicated
    }
    queue.push_back({due, std::move(bytes)});
}

void distribution_simulation::deliver_up(link& connection, const std::string& bytes)
{
    const auto message = decode_distribution_message(bytes);
    if (!message) {
        report_violation("a message to a publisher cannot be decoded: " + message.error().message_);
        return;
    }
    processes_[connection.upper_].publisher_->on_message(connection.id_, *message);
    process_publisher_output(connection.upper_);
}

void distribution_simulation::deliver_down(link& connection, const std::string& bytes)
{
    auto message = decode_distribution_message(bytes);
    auto& lower = processes_[connection.lower_];
    auto* update = message ? std::get_if<table_update>(&*message) : nullptr;
    if (options_.variant_ == broken_variant::forged_row && update != nullptr &&
        update->from_.number_ == 0 && !update->change_.upserts_.empty()) {
        update->change_.upserts_.front().retries_ += 1000;
        update->to_.digest_ = digest_of_rows(update->change_.upserts_);
    }
    if (!message || !lower.subscriber_->on_message(*message)) {
        trace_event(
            fmt::format("{} disconnects from its upstream after an invalid message", lower.name_));
        close_from_subscriber(connection.lower_);
        return;
    }
    process_subscriber_output(connection.lower_);
}

void distribution_simulation::process_publisher_output(std::size_t index)
{
    auto& proc = processes_[index];
    const auto output = proc.publisher_->take_output();
    for (const auto& message : output.messages_) {
        const auto found = std::ranges::find_if(links_, [&](const auto& link) {
            return link->id_ == message.to_ && link->is_upper_open_;
        });
        if (found != links_.end()) {
            enqueue(**found, false, *message.bytes_);
        }
    }
    if (output.proof_wanted_) {
        if (proc.is_control_) {
            proc.proof_due_at_ =
                now_ + milliseconds(proc.is_isolated_ ? 600 : 5 + random_below(40));
        }
        else {
            proc.subscriber_->request_proof();
        }
    }
    if (proc.is_control_) {
        for (const auto& report : output.target_updates_) {
            for (std::size_t other = 0; other < control_count; ++other) {
                if (other != index && !proc.is_isolated_ && !processes_[other].is_isolated_) {
                    control_messages_.push_back(
                        {now_ + milliseconds(5 + random_below(300)), other, report});
                }
            }
        }
        return;
    }
    for (const auto& report : output.target_updates_) {
        proc.subscriber_->report_targets(report);
    }
    if (output.progress_changed_) {
        proc.subscriber_->report_progress(proc.publisher_->progress());
    }
    if (!output.target_updates_.empty() || output.progress_changed_ || output.proof_wanted_) {
        process_subscriber_output(index);
    }
}

void distribution_simulation::process_subscriber_output(std::size_t index)
{
    auto& proc = processes_[index];
    auto output = proc.subscriber_->take_output();
    for (const auto& message : output.messages_) {
        const auto* report = std::get_if<target_report>(&message);
        const auto is_drain = report != nullptr && report->targets_.size() == 1 &&
                              report->targets_.front().state_ == target_state::draining;
        if (is_drain && options_.variant_ == broken_variant::drain_not_reported) {
            continue;
        }
        if (proc.link_) {
            enqueue(*proc.link_, true, encode_message(message));
        }
    }
    if (proc.is_node_) {
        on_node_output(index, output);
    }
    else {
        on_relay_output(index, output);
    }
    if (output.change_upstream_) {
        trace_event(fmt::format("{} leaves a stale upstream", proc.name_));
        close_from_subscriber(index);
    }
}

void distribution_simulation::on_relay_output(std::size_t index, const subscriber_output& output)
{
    auto& proc = processes_[index];
    if (output.held_) {
        proc.publisher_->set_table(output.held_);
        proc.subscriber_->report_progress(proc.publisher_->progress());
    }
    if (output.held_rollouts_) {
        proc.publisher_->set_rollouts(*output.held_rollouts_);
    }
    if (!output.targets_.empty()) {
        proc.publisher_->merge_targets({output.targets_, false});
    }
    if (output.sync_) {
        proc.publisher_->merge_sync(*output.sync_, output.sync_replaces_);
    }
    if (output.proof_) {
        proc.publisher_->on_proof(output.proof_->version_, output.proof_->rollout_sequence_);
    }
    if (output.held_ || output.held_rollouts_ || output.sync_ || !output.targets_.empty() ||
        output.proof_) {
        process_publisher_output(index);
        process_subscriber_output(index);
    }
}

void distribution_simulation::on_node_output(std::size_t index, const subscriber_output& output)
{
    auto& proc = processes_[index];
    auto updates = output.targets_;
    for (const auto& record : output.targets_) {
        proc.directory_.merge(record);
    }
    if (output.sync_) {
        if (output.sync_replaces_) {
            proc.directory_.retain_only(proc.registry_->records());
        }
        const auto outcome = proc.directory_.merge_buckets(*output.sync_);
        updates.insert(updates.end(), outcome.target_updates_.begin(),
                       outcome.target_updates_.end());
        if (!outcome.newer_local_.empty()) {
            proc.subscriber_->report_targets({outcome.newer_local_, false});
        }
    }
    if (!updates.empty() && options_.variant_ != broken_variant::incarnation_not_raised) {
        propagate_changes(index, proc.registry_->refute(updates));
    }
    if (output.enforce_) {
        check_enforced(index, *output.enforce_);
    }
    if (output.enforce_ || output.enforce_rollouts_) {
        check_rollouts(index);
    }
    if (output.enforce_ || !updates.empty()) {
        publish_routes(index);
    }
    if (output.held_ || output.enforce_) {
        const auto& enforced = proc.subscriber_->enforced();
        proc.subscriber_->report_progress(
            {{"zone", 1, enforced ? enforced->version_.number_ : 0, 1, {proc.name_}}});
        process_subscriber_output(index);
    }
}

void distribution_simulation::propagate_changes(std::size_t index,
                                                const std::vector<target_record>& changed)
{
    if (changed.empty()) {
        return;
    }
    auto& proc = processes_[index];
    for (const auto& record : changed) {
        proc.directory_.merge(record);
    }
    publish_routes(index);
    proc.subscriber_->report_targets({changed, true});
    process_subscriber_output(index);
}

void distribution_simulation::publish_routes(std::size_t index)
{
    auto& proc = processes_[index];
    auto records = proc.directory_.records();
    if (options_.variant_ == broken_variant::routes_to_unavailable_target) {
        for (auto& record : records) {
            record.state_ = target_state::up;
        }
    }
    proc.routes_ = route_table::create(proc.subscriber_->enforced(), records);
    check_routes(index);
}

} // namespace sycamorewinch::test
