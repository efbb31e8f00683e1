#include "distribution_world.h"

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
constexpr duration retransmission = milliseconds(200);
constexpr duration heartbeat_timeout = seconds(6);

} // namespace

auto service_name(std::size_t index) -> std::string
{
    return fmt::format("service-{}", index);
}

distribution_world::distribution_world(world_options options)
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

void distribution_world::add_process(std::string name, std::vector<std::size_t> upstreams)
{
    auto& one = processes_.emplace_back();
    one.name_ = std::move(name);
    one.is_control_ = upstreams.empty();
    one.is_node_ = one.name_.starts_with("node");
    one.upstreams_ = std::move(upstreams);
}

void distribution_world::start(process& one)
{
    one.running_ = true;
    one.accepted_at_start_ = accepted_.size() - 1;
    if (!one.is_node_) {
        one.publisher_.emplace();
    }
    if (one.is_control_) {
        one.proof_at_ = instant::max();
        one.publisher_->set_table(accepted_[one.applied_]);
        exchange_targets();
        return;
    }
    subscriber_options options{one.name_, "zone", !one.is_node_, random_};
    options.proof_timeout_ = one.is_node_ ? seconds(8) : seconds(4);
    if (options_.variant_ == broken_variant::captive_of_upstream) {
        options.proof_timeout_ = std::chrono::hours(24);
    }
    one.subscriber_.emplace(std::move(options));
    one.current_ = below(one.upstreams_.size());
    one.dials_at_ = now_ + milliseconds(below(100));
    one.last_upstream_.reset();
    if (one.is_node_) {
        const auto wall = (now_ + one.clock_offset_).time_since_epoch() + std::chrono::hours(24);
        one.registry_.emplace("zone", "address-of-" + one.name_,
                              static_cast<std::uint64_t>(to_milliseconds(wall)));
        one.directory_ = {};
        one.draining_ = false;
        one.announces_at_ = now_;
        one.routes_ = route_table::create(nullptr, {});
    }
}

void distribution_world::stop(std::size_t index)
{
    auto& one = processes_[index];
    one.running_ = false;
    close_from_below(index);
    for (const auto& link : links_) {
        if (link->upper_ == index && link->upper_open_) {
            link->upper_open_ = false;
            // The lower end learns of it at once, or never.
            if (link->lower_open_ && !link->silent_ && !is_blocked(link->lower_, index, false)) {
                close_from_below(link->lower_);
            }
        }
    }
    one.publisher_.reset();
    one.subscriber_.reset();
    one.registry_.reset();
}

void distribution_world::accept_version()
{
    auto rows = accepted_.back()->rows_;
    const auto service = service_name(below(service_count));
    const auto found = std::ranges::find(rows, service, &row::service_);
    if (found == rows.end()) {
        row added{.service_ = service, .path_prefix_ = "/" + service};
        added.retries_ = static_cast<std::uint32_t>(below(100));
        rows.push_back(added);
    }
    else if (chance(4)) {
        rows.erase(found);
    }
    else {
        found->retries_ = static_cast<std::uint32_t>(below(100));
    }
    accepted_.push_back(std::make_shared<const table>(make_table(accepted_.size(), rows)));
}

void distribution_world::run()
{
    for (auto& one : processes_) {
        start(one);
    }
    for (int done = 0; done < options_.steps_ && violation_.empty(); ++done) {
        inject_fault();
        step();
    }
    heal();
    wait_for_agreement();
    check_drain();
    check_death();
}

void distribution_world::step()
{
    now_ += step_length;
    for (std::size_t index = 0; index < processes_.size(); ++index) {
        auto& one = processes_[index];
        if (!one.running_) {
            if (one.starts_at_ <= now_) {
                note(fmt::format("{} starts", one.name_));
                start(one);
            }
            continue;
        }
        if (one.is_control_) {
            step_control(index);
        }
        else {
            step_subscriber(index);
        }
        if (one.is_node_) {
            step_targets(index);
        }
    }
    const auto links = links_;
    for (const auto& link : links) {
        step_link(*link);
    }
    std::erase_if(links_,
                  [](const auto& link) { return !link->lower_open_ && !link->upper_open_; });
}

void distribution_world::step_control(std::size_t index)
{
    auto& one = processes_[index];
    if (!one.cut_off_ && one.applied_ + 1 < accepted_.size() && chance(3)) {
        // A follower that was behind catches up by steps of any length.
        one.applied_ += 1 + below(accepted_.size() - 1 - one.applied_);
        one.publisher_->set_table(accepted_[one.applied_]);
    }
    if (one.proof_at_ <= now_) {
        one.proof_at_ = instant::max();
        if (!one.cut_off_) {
            one.publisher_->on_proof(accepted_.size() - 1);
        }
        else if (options_.variant_ == broken_variant::proof_without_quorum) {
            one.publisher_->on_proof(one.applied_);
        }
        else {
            one.publisher_->on_proof_failed();
        }
    }
    for (auto& letter : control_letters_) {
        if (letter.to_ == index && letter.due_ <= now_) {
            letter.due_ = instant::max();
            if (!one.cut_off_) {
                one.publisher_->merge_targets(letter.report_);
            }
        }
    }
    std::erase_if(control_letters_, [](const auto& one) { return one.due_ == instant::max(); });
    if (options_.variant_ != broken_variant::leases_never_end) {
        one.publisher_->tick(local_time(one), !one.cut_off_);
    }
    run_hub(index);
}

void distribution_world::step_subscriber(std::size_t index)
{
    auto& one = processes_[index];
    if (!one.link_ && one.dials_at_ <= now_) {
        dial(index);
    }
    one.subscriber_->tick(local_time(one));
    run_subscriber(index);
    if (one.publisher_ && options_.variant_ != broken_variant::leases_never_end) {
        one.publisher_->tick(local_time(one), one.link_ != nullptr);
        run_hub(index);
    }
}

void distribution_world::step_targets(std::size_t index)
{
    auto& one = processes_[index];
    if (!one.running_ || one.announces_at_ > now_) {
        return;
    }
    one.announces_at_ = now_ + seconds(1);
    target_announcement announcement{.service_ = service_name(index % service_count),
                                     .target_ = "target-of-" + one.name_};
    announcement.lease_ = seconds(5);
    announcement.slots_ = 10;
    announcement.draining_ = one.draining_;
    if (one.registry_->announce(announcement, local_time(one))) {
        tell(index, one.registry_->records());
    }
    tell(index, one.registry_->expire(local_time(one)));
}

void distribution_world::dial(std::size_t index)
{
    auto& one = processes_[index];
    const auto upper = one.upstreams_[one.current_];
    if (is_blocked(index, upper, true) || is_blocked(index, upper, false)) {
        one.dials_at_ = now_ + seconds(3);
        one.current_ = (one.current_ + 1) % one.upstreams_.size();
        return;
    }
    if (!processes_[upper].running_) {
        one.dials_at_ = now_ + milliseconds(50 + below(450));
        one.current_ = (one.current_ + 1) % one.upstreams_.size();
        return;
    }
    one.link_ = std::make_shared<link>();
    one.link_->lower_ = index;
    one.link_->upper_ = upper;
    one.link_->id_ = next_id_++;
    links_.push_back(one.link_);
    one.subscriber_->on_connected(local_time(one));
    if (one.is_node_) {
        if (one.last_upstream_ && *one.last_upstream_ != upper) {
            one.registry_->renew();
            for (const auto& record : one.registry_->records()) {
                one.directory_.merge(record);
            }
        }
        one.last_upstream_ = upper;
        one.subscriber_->report_targets({one.registry_->records(), true});
        one.subscriber_->report_summary(one.directory_.digests());
        const auto& enforced = one.subscriber_->enforced();
        one.subscriber_->report_progress(
            {{"zone", 1, enforced ? enforced->version_.number_ : 0, 1, {one.name_}}});
    }
    else {
        one.subscriber_->report_targets({one.publisher_->leased_targets(), true});
        one.subscriber_->report_summary(one.publisher_->targets().digests());
        one.subscriber_->report_progress(one.publisher_->progress());
    }
}

void distribution_world::close_from_below(std::size_t index)
{
    auto& one = processes_[index];
    if (!one.link_) {
        return;
    }
    const auto link = std::exchange(one.link_, nullptr);
    link->lower_open_ = false;
    const auto is_heard = !link->silent_ && !is_blocked(index, link->upper_, true);
    link->upper_closes_ = now_ + (is_heard ? duration(milliseconds(5)) : heartbeat_timeout);
    if (one.subscriber_) {
        one.subscriber_->on_disconnected();
    }
    one.current_ = (one.current_ + 1) % one.upstreams_.size();
    one.dials_at_ = now_ + milliseconds(50 + below(400));
}

void distribution_world::step_link(link& one)
{
    while (one.upper_open_ && !one.up_.empty() && one.up_.front().due_ <= now_) {
        const auto bytes = std::move(one.up_.front().bytes_);
        one.up_.pop_front();
        deliver_up(one, bytes);
    }
    while (one.lower_open_ && !one.down_.empty() && one.down_.front().due_ <= now_) {
        const auto bytes = std::move(one.down_.front().bytes_);
        one.down_.pop_front();
        deliver_down(one, bytes);
    }
    const auto is_passable = !one.silent_ && !is_blocked(one.lower_, one.upper_, true) &&
                             !is_blocked(one.lower_, one.upper_, false);
    if (one.lower_open_ && one.lost_something_ && is_passable) {
        close_from_below(one.lower_);
    }
    if (one.upper_open_ && one.upper_closes_ <= now_) {
        one.upper_open_ = false;
        processes_[one.upper_].publisher_->on_subscriber_disconnected(one.id_);
        run_hub(one.upper_);
    }
}

void distribution_world::post(link& one, bool is_up, std::string bytes)
{
    // A connection delivers in order and without gaps: once something is lost, nothing that comes
    // later arrives.
    if (one.lost_something_ || one.silent_ || is_blocked(one.lower_, one.upper_, is_up)) {
        one.lost_something_ = true;
        return;
    }
    auto& queue = is_up ? one.up_ : one.down_;
    auto due = now_ + milliseconds(2 + below(20));
    if (chance(20)) {
        due += retransmission;
    }
    if (!queue.empty()) {
        due = std::max(due, queue.back().due_); // one connection keeps its order
    }
    if (chance(50)) {
        queue.push_back({due, bytes}); // arrives twice
    }
    queue.push_back({due, std::move(bytes)});
}

void distribution_world::deliver_up(link& one, const std::string& bytes)
{
    const auto message = decode_distribution_message(bytes);
    if (!message) {
        fail("a message upwards cannot be read: " + message.error().message_);
        return;
    }
    processes_[one.upper_].publisher_->on_message(one.id_, *message);
    run_hub(one.upper_);
}

void distribution_world::deliver_down(link& one, const std::string& bytes)
{
    auto message = decode_distribution_message(bytes);
    auto& lower = processes_[one.lower_];
    auto* update = message ? std::get_if<table_update>(&*message) : nullptr;
    if (options_.variant_ == broken_variant::forged_row && update != nullptr &&
        update->from_.number_ == 0 && !update->change_.upserts_.empty()) {
        update->change_.upserts_.front().retries_ += 1000;
        update->to_.digest_ = digest_of_rows(update->change_.upserts_);
    }
    if (!message || !lower.subscriber_->on_message(*message)) {
        note(fmt::format("{} drops its upstream for a bad message", lower.name_));
        close_from_below(one.lower_);
        return;
    }
    run_subscriber(one.lower_);
}

void distribution_world::run_hub(std::size_t index)
{
    auto& one = processes_[index];
    const auto output = one.publisher_->take_output();
    for (const auto& message : output.messages_) {
        const auto found = std::ranges::find_if(links_, [&](const auto& link) {
            return link->id_ == message.to_ && link->upper_open_;
        });
        if (found != links_.end()) {
            post(**found, false, *message.bytes_);
        }
    }
    if (output.proof_wanted_) {
        if (one.is_control_) {
            one.proof_at_ = now_ + milliseconds(one.cut_off_ ? 600 : 5 + below(40));
        }
        else {
            one.subscriber_->request_proof();
        }
    }
    if (one.is_control_) {
        for (const auto& news : output.target_updates_) {
            for (std::size_t other = 0; other < control_count; ++other) {
                if (other != index && !one.cut_off_ && !processes_[other].cut_off_) {
                    control_letters_.push_back({now_ + milliseconds(5 + below(300)), other, news});
                }
            }
        }
        return;
    }
    for (const auto& news : output.target_updates_) {
        one.subscriber_->report_targets(news);
    }
    if (output.progress_changed_) {
        one.subscriber_->report_progress(one.publisher_->progress());
    }
    if (!output.target_updates_.empty() || output.progress_changed_ || output.proof_wanted_) {
        run_subscriber(index);
    }
}

void distribution_world::run_subscriber(std::size_t index)
{
    auto& one = processes_[index];
    auto output = one.subscriber_->take_output();
    for (const auto& message : output.messages_) {
        const auto* report = std::get_if<target_report>(&message);
        const auto is_drain = report != nullptr && report->targets_.size() == 1 &&
                              report->targets_.front().state_ == target_state::draining;
        if (is_drain && options_.variant_ == broken_variant::drain_not_told) {
            continue;
        }
        if (one.link_) {
            post(*one.link_, true, encode_message(message));
        }
    }
    if (one.is_node_) {
        on_node_output(index, output);
    }
    else {
        on_relay_output(index, output);
    }
    if (output.change_upstream_) {
        note(fmt::format("{} leaves a stale upstream", one.name_));
        close_from_below(index);
    }
}

void distribution_world::on_relay_output(std::size_t index, const subscriber_output& output)
{
    auto& one = processes_[index];
    if (output.held_) {
        one.publisher_->set_table(output.held_);
        one.subscriber_->report_progress(one.publisher_->progress());
    }
    if (!output.targets_.empty()) {
        one.publisher_->merge_targets({output.targets_, false});
    }
    if (output.sync_) {
        one.publisher_->merge_sync(*output.sync_, output.sync_replaces_);
    }
    if (output.proof_) {
        one.publisher_->on_proof(*output.proof_);
    }
    if (output.held_ || output.sync_ || !output.targets_.empty() || output.proof_) {
        run_hub(index);
        run_subscriber(index);
    }
}

void distribution_world::on_node_output(std::size_t index, const subscriber_output& output)
{
    auto& one = processes_[index];
    auto news = output.targets_;
    for (const auto& record : output.targets_) {
        one.directory_.merge(record);
    }
    if (output.sync_) {
        if (output.sync_replaces_) {
            one.directory_.retain_only(one.registry_->records());
        }
        const auto outcome = one.directory_.merge_buckets(*output.sync_);
        news.insert(news.end(), outcome.target_updates_.begin(), outcome.target_updates_.end());
        if (!outcome.newer_local_.empty()) {
            one.subscriber_->report_targets({outcome.newer_local_, false});
        }
    }
    if (!news.empty() && options_.variant_ != broken_variant::incarnation_not_raised) {
        tell(index, one.registry_->refute(news));
    }
    if (output.enforce_) {
        check_enforced(index, *output.enforce_);
    }
    if (output.enforce_ || !news.empty()) {
        publish_routes(index);
    }
    if (output.held_ || output.enforce_) {
        const auto& enforced = one.subscriber_->enforced();
        one.subscriber_->report_progress(
            {{"zone", 1, enforced ? enforced->version_.number_ : 0, 1, {one.name_}}});
        run_subscriber(index);
    }
}

void distribution_world::tell(std::size_t index, const std::vector<target_record>& changed)
{
    if (changed.empty()) {
        return;
    }
    auto& one = processes_[index];
    for (const auto& record : changed) {
        one.directory_.merge(record);
    }
    publish_routes(index);
    one.subscriber_->report_targets({changed, true});
    run_subscriber(index);
}

void distribution_world::publish_routes(std::size_t index)
{
    auto& one = processes_[index];
    auto records = one.directory_.records();
    if (options_.variant_ == broken_variant::routes_to_gone) {
        for (auto& record : records) {
            record.state_ = target_state::up;
        }
    }
    one.routes_ = route_table::create(one.subscriber_->enforced(), records);
    check_routes(index);
}

} // namespace sycamorewinch::test
