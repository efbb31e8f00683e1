#include "quota/contact_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sycamorewinch {

namespace {

/** The nodes that are asked. Of a sixth of a large number of nodes, more than half of so many are
 * drawn once in about a thousand times. */
constexpr std::size_t sample_size = 15;
constexpr std::chrono::milliseconds answer_timeout{100};
constexpr duration round_interval = std::chrono::milliseconds(250);
/** Longer than a round and the interval, so that a node in lasting doubt stays confirmed. */
constexpr duration confirmation_lifetime = std::chrono::milliseconds(400);
/** After a node has not answered, the doubt lasts for this time. */
constexpr duration doubt_time = std::chrono::seconds(2);

} // namespace

auto contact_monitor::is_proof_recent(instant now) const -> bool
{
    return now - hooks_.proved_at_() <= hooks_.max_proof_age_;
}

auto contact_monitor::is_proved_in_doubt(instant now) const -> bool
{
    return doubted_since_ && is_proof_recent(now) && hooks_.proved_at_() > *doubted_since_;
}

auto contact_monitor::is_confirmed_by_round(instant now) const -> bool
{
    return confirmed_at_ && now - *confirmed_at_ < confirmation_lifetime;
}

auto contact_monitor::state(const quota_nodes& nodes, instant now) -> contact_state
{
    const auto failed_at = reachability_.failed_at();
    const bool has_failure = failed_at && now - *failed_at < doubt_time;
    const bool is_in_doubt = has_failure || !is_proof_recent(now);
    if (!is_in_doubt) {
        doubted_since_.reset();
        is_lost_ = false;
        return contact_state::confirmed;
    }
    doubted_since_ = doubted_since_.value_or(now);
    if (is_proved_in_doubt(now)) {
        is_lost_ = false;
        return contact_state::confirmed;
    }
    if (!round_.is_running_ && (!round_started_at_ || now - *round_started_at_ >= round_interval)) {
        start_round(nodes, now);
    }
    if (is_confirmed_by_round(now)) {
        is_lost_ = false;
        return contact_state::confirmed;
    }
    const bool is_denied = denied_at_ && *denied_at_ >= *doubted_since_;
    if (!is_denied || is_proof_recent(now)) {
        return contact_state::unknown;
    }
    if (!std::exchange(is_lost_, true)) {
        hooks_.on_lost_();
    }
    return contact_state::lost;
}

void contact_monitor::confirm(const quota_nodes& nodes, instant now,
                              std::function<void(bool is_confirmed, instant now)> done)
{
    const auto known = state(nodes, now);
    if (known == contact_state::unknown && round_.is_running_) {
        waiting_.push_back(std::move(done));
        return;
    }
    done(known == contact_state::confirmed, now);
}

void contact_monitor::start_round(const quota_nodes& nodes, instant now)
{
    round_started_at_ = now;
    auto others = nodes.addresses_;
    std::erase(others, nodes.own_);
    // A new sample each time; without an organisation, the question is for nothing but an answer.
    const auto sample =
        choose_holders(nodes.own_ + std::to_string(round_.number_), others, sample_size);
    round_ = {round_.number_ + 1, sample.size(), 0, 0, true};
    if (sample.empty()) {
        finish_round(true, now);
        return;
    }
    for (const auto& address : sample) {
        hooks_.send_(address, {}, answer_timeout,
                     [this, address, number = round_.number_](
                         const std::optional<quota_grant>& grant, instant answered_at) {
                         on_answer(number, address, grant.has_value(), answered_at);
                     });
    }
}

void contact_monitor::on_answer(std::uint64_t round_number, const std::string& address,
                                bool is_answered, instant now)
{
    if (is_answered) {
        reachability_.on_answer(address);
    }
    if (!round_.is_running_ || round_number != round_.number_) {
        return;
    }
    (is_answered ? round_.answered_ : round_.failed_) += 1;
    // More than half of the sample and this node.
    const auto needed = (round_.asked_ + 1) / 2 + 1;
    if (round_.answered_ + 1 >= needed) {
        finish_round(true, now);
    }
    else if (round_.asked_ - round_.failed_ + 1 < needed) {
        finish_round(false, now);
    }
}

void contact_monitor::finish_round(bool is_positive, instant now)
{
    round_.is_running_ = false;
    if (is_positive) {
        confirmed_at_ = now;
        denied_at_.reset();
    }
    else {
        denied_at_ = now;
    }
    for (const auto& done : std::exchange(waiting_, {})) {
        done(is_positive, now);
    }
}

} // namespace sycamorewinch
