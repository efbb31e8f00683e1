#include "distribution/subscriber.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

/** Enough for the requests of several seconds. */
constexpr std::size_t max_proofs_ahead = 32;

} // namespace

subscriber::subscriber(subscriber_options options)
    : options_(std::move(options)), held_(std::make_shared<const table>(make_table(0, {}))),
      held_rollouts_(std::make_shared<const rollout_set>()), enforced_rollouts_(held_rollouts_)
{
}

void subscriber::on_connected(instant now)
{
    now_ = now;
    proof_timeout_started_at_ = now;
    is_connected_ = true;
    needs_full_sync_ = disconnected_at_ && now - *disconnected_at_ >= tombstone_retention / 2;
    output_.messages_.emplace_back(subscribe{options_.name_, options_.availability_zone_,
                                             options_.is_relay_, held_->version_});
    request_proof();
}

void subscriber::on_disconnected()
{
    if (is_connected_) {
        disconnected_at_ = now_;
    }
    is_connected_ = false;
    is_proof_pending_ = false;
}

void subscriber::tick(instant now)
{
    const auto previous_tick = std::exchange(now_, now);
    if (!is_connected_) {
        return;
    }
    // After a long pause of this process itself, missing proofs say nothing about the upstream.
    if (now - previous_tick >= options_.proof_period_) {
        proof_timeout_started_at_ = now;
    }
    if (now - proof_timeout_started_at_ >= options_.proof_timeout_) {
        proof_timeout_started_at_ = now;
        output_.change_upstream_ = true;
    }
    // Does not replace a pending request after only one period: if answers took longer than the
    // period, no answer would ever match the latest nonce.
    const auto interval = is_proof_pending_ ? options_.proof_timeout_ / 2 : proof_interval();
    if (now - proof_requested_at_ >= interval) {
        request_proof();
    }
}

auto subscriber::proof_interval() const -> duration
{
    return has_running_rollout_ ? std::min(options_.proof_period_, rollout_proof_period)
                                : options_.proof_period_;
}

void subscriber::request_proof()
{
    nonce_ = options_.random_() >> 1U;
    is_proof_pending_ = true;
    proof_requested_at_ = now_;
    // A relay passes the proof on to nodes that have restarted and may have no other.
    const bool is_refresh = enforced_ != nullptr && !options_.is_relay_;
    output_.messages_.emplace_back(currency_request{nonce_, is_refresh});
}

void subscriber::report_crashes(std::vector<crash_record> crashes)
{
    output_.messages_.emplace_back(crash_report{std::move(crashes)});
}

void subscriber::report_targets(target_report report)
{
    output_.messages_.emplace_back(std::move(report));
}

void subscriber::report_summary(target_digests digests)
{
    output_.messages_.emplace_back(
        target_summary{needs_full_sync_ ? target_digests() : std::move(digests)});
}

void subscriber::report_versions(version_report report)
{
    output_.messages_.emplace_back(std::move(report));
}

void subscriber::report_progress(std::vector<zone_progress> zones)
{
    output_.messages_.emplace_back(progress_report{std::move(zones)});
}

auto subscriber::on_message(const distribution_message& message) -> result<void>
{
    if (const auto* update = std::get_if<table_update>(&message)) {
        return on_table_update(*update);
    }
    if (const auto* proof = std::get_if<currency_proof>(&message)) {
        on_currency_proof(*proof);
        return {};
    }
    if (const auto* rollouts = std::get_if<rollout_update>(&message)) {
        on_rollout_update(*rollouts);
        return {};
    }
    if (const auto* report = std::get_if<crash_report>(&message)) {
        output_.crashes_.insert(output_.crashes_.end(), report->crashes_.begin(),
                                report->crashes_.end());
        return {};
    }
    if (const auto* report = std::get_if<target_report>(&message)) {
        output_.targets_.insert(output_.targets_.end(), report->targets_.begin(),
                                report->targets_.end());
        return {};
    }
    if (const auto* sync = std::get_if<target_sync>(&message)) {
        output_.sync_ = sync->contents_;
        output_.sync_replaces_ = std::exchange(needs_full_sync_, false);
        return {};
    }
    if (const auto* publishers = std::get_if<publisher_list>(&message)) {
        output_.publishers_ = *publishers;
        return {};
    }
    return failure(error_kind::invalid_input,
                   "the upstream sent a message that only subscribers may send");
}

auto subscriber::on_table_update(const table_update& update) -> result<void>
{
    if (update.to_.number_ <= held_->version_.number_) {
        return {}; // outdated update
    }
    const table empty_table = make_table(0, {});
    const bool is_whole = update.from_.number_ == 0;
    if (!is_whole && update.from_ != held_->version_) {
        return failure(error_kind::conflict, "table update starts from a version that is not held");
    }
    auto next = std::make_shared<const table>(
        apply_change(is_whole ? empty_table : *held_, update.change_, update.to_.number_));
    if (next->version_ != update.to_) {
        return failure(
            error_kind::corrupt,
            fmt::format("the digest of table version {} differs from the announced digest",
                        update.to_.number_));
    }
    held_ = std::move(next);
    output_.held_ = held_;
    proof_timeout_started_at_ = now_; // the upstream is neither silent nor cut off
    enforce_if_proved();
    record_proofs_of_held_table();
    return {};
}

void subscriber::on_rollout_update(const rollout_update& update)
{
    if (update.rollouts_.sequence_ <= held_rollouts_->sequence_) {
        return; // outdated, e.g. from an upstream that is behind the previous one
    }
    held_rollouts_ = std::make_shared<const rollout_set>(update.rollouts_);
    has_running_rollout_ = std::ranges::find(held_rollouts_->rollouts_, rollout_state::running,
                                             &rollout::state_) != held_rollouts_->rollouts_.end();
    output_.held_rollouts_ = held_rollouts_;
    enforce_if_proved();
    record_proofs_of_held_table();
}

void subscriber::on_currency_proof(const currency_proof& proof)
{
    if (!is_proof_pending_ || proof.nonce_ != nonce_) {
        return; // the answer to an earlier request
    }
    is_proof_pending_ = false;
    proved_version_ = std::max(proved_version_.value_or(0), proof.version_);
    proved_rollout_sequence_ = std::max(proved_rollout_sequence_, proof.rollout_sequence_);
    output_.proof_ = proof;
    proofs_ahead_.push_back({proof.version_, proof.rollout_sequence_,
                             proof_requested_at_ - std::chrono::milliseconds(proof.age_ms_)});
    if (proofs_ahead_.size() > max_proofs_ahead) {
        proofs_ahead_.pop_front();
    }
    enforce_if_proved();
    record_proofs_of_held_table();
}

// While versions follow one another quickly, a proof names a version that arrives only after the
// next request was sent. The proof still counts then, as of its own time.
void subscriber::record_proofs_of_held_table()
{
    while (!proofs_ahead_.empty() && proofs_ahead_.front().version_ <= held_->version_.number_ &&
           proofs_ahead_.front().rollout_sequence_ <= held_rollouts_->sequence_) {
        proof_timeout_started_at_ = now_;
        proved_current_at_ =
            std::max(proved_current_at_.value_or(instant{}), proofs_ahead_.front().valid_at_);
        proofs_ahead_.pop_front();
    }
}

void subscriber::enforce_if_proved()
{
    const bool is_first_set_missing =
        !enforced_ && held_rollouts_->sequence_ < proved_rollout_sequence_;
    if (!proved_version_ || is_first_set_missing) {
        return;
    }
    const bool is_table_proved = held_->version_.number_ >= *proved_version_;
    if ((enforced_ || is_table_proved) && enforced_rollouts_ != held_rollouts_) {
        enforced_rollouts_ = held_rollouts_;
        output_.enforce_rollouts_ = enforced_rollouts_;
    }
    if (!is_table_proved || enforced_ == held_) {
        return;
    }
    const auto previous_version = enforced_ ? enforced_->version_.number_ : 0;
    const auto next = held_->version_.number_;
    invariant(!enforced_ || next > previous_version,
              "the version in force must increase but would go from {} to {}", previous_version,
              next);
    enforced_ = held_;
    output_.enforce_ = enforced_;
}

auto subscriber::take_output() -> subscriber_output
{
    auto output = std::move(output_);
    output_ = {};
    return output;
}

} // namespace sycamorewinch
