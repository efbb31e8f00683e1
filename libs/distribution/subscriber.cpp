#include "distribution/subscriber.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/invariant.h"

namespace sycamorewinch {

subscriber::subscriber(subscriber_options options)
    : options_(std::move(options)), held_(std::make_shared<const table>(make_table(0, {})))
{
}

void subscriber::on_connected(instant now)
{
    now_ = now;
    good_at_ = now;
    connected_ = true;
    was_long_away_ = left_at_ && now - *left_at_ >= gone_remembered / 2;
    output_.messages_.emplace_back(subscribe{options_.name_, options_.availability_zone_,
                                             options_.is_relay_, held_->version_});
    request_proof();
}

void subscriber::on_disconnected()
{
    if (connected_) {
        left_at_ = now_;
    }
    connected_ = false;
    asking_ = false;
}

void subscriber::tick(instant now)
{
    const auto was = std::exchange(now_, now);
    if (!connected_) {
        return;
    }
    // A process that was itself stopped for long has no evidence against its upstream.
    if (now - was >= options_.proof_period_) {
        good_at_ = now;
    }
    if (now - good_at_ >= options_.proof_timeout_) {
        on_disconnected();
        output_.change_upstream_ = true;
        return;
    }
    // A question that is still open is not overtaken by the next one: with answers slower than
    // the period, none would ever be the answer to the latest question.
    const auto wait = asking_ ? options_.proof_timeout_ / 2 : options_.proof_period_;
    if (now - asked_at_ >= wait) {
        request_proof();
    }
}

void subscriber::request_proof()
{
    nonce_ = options_.random_() >> 1U;
    asking_ = true;
    asked_at_ = now_;
    output_.messages_.emplace_back(currency_request{nonce_, enforced_ != nullptr});
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
        target_summary{was_long_away_ ? target_digests() : std::move(digests)});
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
        output_.sync_replaces_ = std::exchange(was_long_away_, false);
        return {};
    }
    if (const auto* publishers = std::get_if<publisher_list>(&message)) {
        output_.publishers_ = *publishers;
        return {};
    }
    return failure(error_kind::invalid_input, "the upstream sent a message for upstreams only");
}

auto subscriber::on_table_update(const table_update& update) -> result<void>
{
    if (update.to_.number_ <= held_->version_.number_) {
        return {}; // late news
    }
    const table nothing = make_table(0, {});
    const bool is_whole = update.from_.number_ == 0;
    if (!is_whole && update.from_ != held_->version_) {
        return failure(error_kind::conflict, "a step starts from a version that is not held");
    }
    auto next = std::make_shared<const table>(
        apply_change(is_whole ? nothing : *held_, update.change_, update.to_.number_));
    if (next->version_ != update.to_) {
        return failure(error_kind::corrupt,
                       fmt::format("version {} does not have the digest that was announced",
                                   update.to_.number_));
    }
    held_ = std::move(next);
    output_.held_ = held_;
    enforce_if_proved();
    note_if_current();
    return {};
}

void subscriber::on_currency_proof(const currency_proof& proof)
{
    if (!asking_ || proof.nonce_ != nonce_) {
        return; // an answer to an earlier question
    }
    asking_ = false;
    proved_version_ = std::max(proved_version_.value_or(0), proof.version_);
    output_.proof_ = proof.version_;
    enforce_if_proved();
    note_if_current();
}

// A proof speaks of the moment it was asked for.
void subscriber::note_if_current()
{
    if (proved_version_ && held_->version_.number_ >= *proved_version_ && !asking_) {
        good_at_ = now_;
        current_at_ = asked_at_;
    }
}

void subscriber::enforce_if_proved()
{
    if (!proved_version_ || held_->version_.number_ < *proved_version_ || enforced_ == held_) {
        return;
    }
    const auto before = enforced_ ? enforced_->version_.number_ : 0;
    const auto next = held_->version_.number_;
    invariant(!enforced_ || next > before, "version in force would go from {} to {}", before, next);
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
