#include "distribution/publisher.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t max_recent_changes = 1024;
constexpr std::size_t max_at_lowest_names = 5;

} // namespace

publisher::publisher() : newest_(std::make_shared<const table>(make_table(0, {}))) {}

void publisher::set_table(table_pointer newest)
{
    invariant(newest->version_.number_ >= newest_->version_.number_,
              "the publisher's table would go back from version {} to {}",
              newest_->version_.number_, newest->version_.number_);
    if (newest->version_ == newest_->version_) {
        return;
    }
    recent_changes_.push_back({newest_->version_, difference(*newest_, *newest)});
    if (recent_changes_.size() > max_recent_changes) {
        recent_changes_.pop_front();
    }
    newest_ = std::move(newest);
    encoded_updates_.clear();
    for (auto& [id, subscription] : subscribers_) {
        if (subscription.subscribed_ && !subscription.update_in_flight_) {
            send_update(id, subscription);
        }
    }
}

void publisher::set_rollouts(rollout_set newest)
{
    if (newest.sequence_ <= rollouts_.sequence_) {
        return;
    }
    rollouts_ = std::move(newest);
    const auto bytes =
        std::make_shared<const std::string>(encode_message(rollout_update{rollouts_}));
    for (const auto& [id, subscription] : subscribers_) {
        if (subscription.subscribed_) {
            output_.messages_.push_back({id, bytes});
        }
    }
}

void publisher::set_publishers(std::vector<publisher_address> publishers)
{
    if (publishers_.publishers_ == publishers) {
        return;
    }
    publishers_.publishers_ = std::move(publishers);
    for (const auto& [id, subscription] : subscribers_) {
        if (subscription.subscribed_) {
            send(id, publishers_);
        }
    }
}

void publisher::merge_targets(const target_report& report)
{
    std::vector<target_record> updates;
    for (const auto& target : report.targets_) {
        if (targets_.merge(target)) {
            leases_.release(target);
            updates.push_back(*targets_.find(target.service_, target.target_));
        }
        else if (report.holds_leases_ &&
                 is_same_version(*targets_.find(target.service_, target.target_), target)) {
            leases_.take_over(target);
        }
    }
    broadcast(updates, std::nullopt);
}

void publisher::merge_sync(const bucket_contents& contents, bool replaces)
{
    if (replaces) {
        targets_.retain_only(leased_targets());
    }
    const auto merged = targets_.merge_buckets(contents);
    for (const auto& target : merged.target_updates_) {
        leases_.release(target);
    }
    broadcast(merged.target_updates_, std::nullopt);
    if (!merged.newer_local_.empty()) {
        output_.target_updates_.push_back({merged.newer_local_, false});
    }
}

void publisher::merge_crashes(const std::vector<crash_record>& crashes)
{
    static_cast<void>(merge_and_forward_crashes(crashes, std::nullopt));
}

auto publisher::merge_and_forward_crashes(const std::vector<crash_record>& crashes,
                                          std::optional<subscriber_id> except)
    -> std::vector<crash_record>
{
    crash_report updates;
    for (const auto& crash : crashes) {
        if (crashes_.merge(crash, now_)) {
            updates.crashes_.push_back(crash);
        }
    }
    for (const auto& [id, subscription] : subscribers_) {
        if (!updates.crashes_.empty() && subscription.subscribed_ && id != except) {
            send(id, updates);
        }
    }
    return std::move(updates.crashes_);
}

void publisher::on_crash_report(subscriber_id from, const crash_report& report)
{
    auto updates = merge_and_forward_crashes(report.crashes_, from);
    std::ranges::move(updates, std::back_inserter(output_.crashes_));
}

void publisher::tick(instant now, bool has_upstream_contact)
{
    now_ = now;
    crashes_.expire(now);
    output_version_reports();
    time_out_whole_tables();
    targets_.purge_tombstones(now);
    const auto expired = leases_.tick(now, has_upstream_contact, targets_);
    if (expired.empty()) {
        return;
    }
    for (const auto& target : expired) {
        targets_.merge(target);
    }
    broadcast(expired, std::nullopt);
    output_.target_updates_.push_back({expired, false});
}

auto publisher::leased_targets() const -> std::vector<target_record>
{
    auto leased = targets_.records();
    std::erase_if(leased, [this](const auto& record) { return !leases_.holds(record); });
    return leased;
}

void publisher::broadcast(const std::vector<target_record>& updates,
                          std::optional<subscriber_id> except)
{
    if (updates.empty()) {
        return;
    }
    const auto bytes =
        std::make_shared<const std::string>(encode_message(target_report{updates, false}));
    for (const auto& [id, subscription] : subscribers_) {
        if (subscription.subscribed_ && id != except) {
            output_.messages_.push_back({id, bytes});
        }
    }
}

void publisher::on_subscriber_disconnected(subscriber_id from)
{
    const auto found = subscribers_.find(from);
    if (found != subscribers_.end()) {
        whole_tables_in_flight_ -= found->second.whole_table_sent_at_ ? 1 : 0;
        subscribers_.erase(found);
    }
    send_queued_whole_tables();
    leases_.on_holder_disconnected(from, now_);
    std::erase_if(queued_proof_requests_,
                  [from](const auto& request) { return request.from_ == from; });
    std::erase_if(proof_requests_in_flight_,
                  [from](const auto& request) { return request.from_ == from; });
    output_.progress_changed_ = true;
}

void publisher::on_message(subscriber_id from, const distribution_message& message)
{
    if (const auto* subscribe_message = std::get_if<subscribe>(&message)) {
        on_subscribe(from, *subscribe_message);
        return;
    }
    if (!subscribers_.contains(from)) {
        output_.to_disconnect_.push_back(from);
        return;
    }
    if (const auto* request = std::get_if<currency_request>(&message)) {
        if (request->is_refresh_ && currency_age_) {
            const auto age_ms = static_cast<std::uint64_t>(to_milliseconds(*currency_age_));
            send(from, currency_proof{request->nonce_, newest_->version_.number_, age_ms,
                                      rollouts_.sequence_});
            return;
        }
        queued_proof_requests_.push_back({from, request->nonce_});
        start_proof_request();
    }
    else if (const auto* progress = std::get_if<progress_report>(&message)) {
        on_progress_report(from, *progress);
    }
    else if (const auto* targets = std::get_if<target_report>(&message)) {
        on_target_report(from, *targets);
    }
    else if (const auto* summary = std::get_if<target_summary>(&message)) {
        on_target_summary(from, *summary);
    }
    else if (const auto* crashes = std::get_if<crash_report>(&message)) {
        on_crash_report(from, *crashes);
    }
    else if (const auto* versions = std::get_if<version_report>(&message)) {
        on_version_report(from, *versions);
    }
    else {
        output_.to_disconnect_.push_back(from);
    }
}

void publisher::on_subscribe(subscriber_id from, const subscribe& message)
{
    auto& subscription = subscribers_[from];
    subscription.name_ = message.name_;
    subscription.availability_zone_ = message.availability_zone_;
    subscription.is_relay_ = message.is_relay_;
    subscription.held_ = message.held_;
    subscription.subscribed_ = true;
    if (rollouts_.sequence_ > 0) {
        send(from, rollout_update{rollouts_});
    }
    send_update(from, subscription);
    if (!publishers_.publishers_.empty()) {
        send(from, publishers_);
    }
    if (auto crashes = crashes_.records(); !crashes.empty()) {
        send(from, crash_report{std::move(crashes)});
    }
}

// Subscribers report with the same period. The first one that reports again completes a round,
// whose reports go upstream as one.
void publisher::on_version_report(subscriber_id from, const version_report& report)
{
    auto& subscription = subscribers_.at(from);
    if (subscription.is_in_pending_report_) {
        output_version_reports();
    }
    merge_report(pending_samples_, {report.samples_, {}});
    subscription.version_loads_ = report.loads_;
    subscription.version_loads_at_ = now_;
    subscription.is_in_pending_report_ = true;
    has_pending_report_ = true;
}

void publisher::output_version_reports()
{
    if (!std::exchange(has_pending_report_, false)) {
        return;
    }
    merge_report(output_.version_reports_, std::exchange(pending_samples_, {}));
    output_.version_reports_.loads_.clear();
    for (auto& [id, subscription] : subscribers_) {
        subscription.is_in_pending_report_ = false;
        if (now_ - subscription.version_loads_at_ < version_load_timeout) {
            merge_report(output_.version_reports_, {{}, subscription.version_loads_});
        }
    }
}

// A progress report also acknowledges the update in flight.
void publisher::on_progress_report(subscriber_id from, const progress_report& report)
{
    auto& subscription = subscribers_.at(from);
    subscription.progress_ = report.zones_;
    subscription.update_in_flight_ = false;
    if (std::exchange(subscription.whole_table_sent_at_, std::nullopt)) {
        --whole_tables_in_flight_;
        send_queued_whole_tables();
    }
    output_.progress_changed_ = true;
    send_update(from, subscription);
}

void publisher::on_target_report(subscriber_id from, const target_report& report)
{
    target_report updates{{}, report.holds_leases_};
    target_report taken_over{{}, true};
    for (const auto& target : report.targets_) {
        const auto is_merged = targets_.merge(target);
        const auto* known = targets_.find(target.service_, target.target_);
        if (is_merged) {
            leases_.release(target);
            updates.targets_.push_back(*known);
        }
        if (report.holds_leases_ && is_same_version(*known, target)) {
            if (!is_merged && !leases_.has_connected_holder(target)) {
                taken_over.targets_.push_back(target);
            }
            leases_.hold(target, from, subscribers_.at(from).is_relay_);
        }
        if (*known != target) {
            // The sender adopts the known record, or the node announces a newer one.
            send(from, target_report{{*known}, false});
        }
    }
    if (!updates.targets_.empty()) {
        broadcast(updates.targets_, from);
        output_.target_updates_.push_back(std::move(updates));
    }
    if (!taken_over.targets_.empty()) {
        // Not broadcast: the subscribers have these records already.
        output_.target_updates_.push_back(std::move(taken_over));
    }
}

void publisher::on_target_summary(subscriber_id from, const target_summary& summary)
{
    send(from, target_sync{targets_.differing_buckets(summary.digests_)});
}

void publisher::send(subscriber_id to, const distribution_message& message)
{
    output_.messages_.push_back({to, std::make_shared<const std::string>(encode_message(message))});
}

void publisher::send_update(subscriber_id to, subscription& subscription)
{
    if (subscription.held_.number_ >= newest_->version_.number_) {
        return;
    }
    if (needs_whole_table(subscription.held_)) {
        if (whole_tables_in_flight_ >= max_whole_tables_in_flight) {
            whole_table_queue_.push_back(to);
            return;
        }
        ++whole_tables_in_flight_;
        subscription.whole_table_sent_at_ = now_;
    }
    output_.messages_.push_back({to, encoded_update(subscription.held_)});
    subscription.held_ = newest_->version_;
    subscription.update_in_flight_ = true;
}

auto publisher::needs_whole_table(const table_version& held) const -> bool
{
    return held.number_ == 0 || std::ranges::find(recent_changes_, held, &version_change::from_) ==
                                    recent_changes_.end();
}

// Skips queued subscribers that have disconnected or already have an update in flight.
void publisher::send_queued_whole_tables()
{
    while (whole_tables_in_flight_ < max_whole_tables_in_flight && !whole_table_queue_.empty()) {
        const auto next = whole_table_queue_.front();
        whole_table_queue_.pop_front();
        const auto found = subscribers_.find(next);
        if (found != subscribers_.end() && !found->second.update_in_flight_) {
            send_update(next, found->second);
        }
    }
}

void publisher::time_out_whole_tables()
{
    for (auto& [id, subscription] : subscribers_) {
        if (subscription.whole_table_sent_at_ &&
            now_ - *subscription.whole_table_sent_at_ >= whole_table_timeout) {
            subscription.whole_table_sent_at_.reset();
            --whole_tables_in_flight_;
        }
    }
    send_queued_whole_tables();
}

auto publisher::encoded_update(const table_version& held) -> std::shared_ptr<const std::string>
{
    auto& encoded = encoded_updates_[held];
    if (encoded) {
        return encoded;
    }
    table_update update{held, newest_->version_, {}};
    const auto start = std::ranges::find(recent_changes_, held, &version_change::from_);
    if (needs_whole_table(held)) {
        update.from_ = {};
        update.change_.upserts_ = newest_->rows_;
        update.change_.bounds_ = newest_->bounds_;
        update.change_.organisation_upserts_ = newest_->organisations_;
    }
    else {
        for (auto version_change = start; version_change != recent_changes_.end();
             ++version_change) {
            update.change_ = combine(update.change_, version_change->change_);
        }
    }
    encoded = std::make_shared<const std::string>(encode_message(update));
    return encoded;
}

// One proof answers all requests that were queued before it was requested.
void publisher::start_proof_request()
{
    if (proof_in_flight_ || queued_proof_requests_.empty()) {
        return;
    }
    proof_in_flight_ = true;
    proof_requests_in_flight_ = std::move(queued_proof_requests_);
    queued_proof_requests_.clear();
    output_.proof_wanted_ = true;
}

void publisher::on_proof(std::uint64_t version, std::uint64_t rollout_sequence)
{
    for (const auto& request : proof_requests_in_flight_) {
        send(request.from_, currency_proof{request.nonce_, version, 0, rollout_sequence});
    }
    proof_requests_in_flight_.clear();
    proof_in_flight_ = false;
    start_proof_request();
}

void publisher::on_proof_failed()
{
    queued_proof_requests_.insert(queued_proof_requests_.begin(), proof_requests_in_flight_.begin(),
                                  proof_requests_in_flight_.end());
    proof_requests_in_flight_.clear();
    proof_in_flight_ = false;
    start_proof_request();
}

auto publisher::take_output() -> publisher_output
{
    auto output = std::move(output_);
    output_ = {};
    return output;
}

auto publisher::progress() const -> std::vector<zone_progress>
{
    std::vector<zone_progress> total;
    for (const auto& [id, subscription] : subscribers_) {
        merge_progress(total, subscription.progress_);
    }
    return total;
}

void merge_progress(std::vector<zone_progress>& total, const std::vector<zone_progress>& added)
{
    for (const auto& zone : added) {
        const auto found =
            std::ranges::find(total, zone.availability_zone_, &zone_progress::availability_zone_);
        if (found == total.end()) {
            total.push_back(zone);
            continue;
        }
        found->nodes_ += zone.nodes_;
        if (zone.lowest_version_ < found->lowest_version_) {
            found->lowest_version_ = zone.lowest_version_;
            found->at_lowest_ = zone.at_lowest_;
            found->at_lowest_names_ = zone.at_lowest_names_;
        }
        else if (zone.lowest_version_ == found->lowest_version_) {
            found->at_lowest_ += zone.at_lowest_;
            for (const auto& name : zone.at_lowest_names_) {
                if (found->at_lowest_names_.size() < max_at_lowest_names) {
                    found->at_lowest_names_.push_back(name);
                }
            }
        }
    }
}

} // namespace sycamorewinch
