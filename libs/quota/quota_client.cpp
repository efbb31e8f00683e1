#include "quota/quota_client.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamorewinch {

namespace {

/** The state of an organisation without requests is dropped after this time. It has no tokens
 * then. */
constexpr duration max_idle = std::chrono::seconds(30);
constexpr duration removal_interval = std::chrono::seconds(10);
/** After this time a caller is told to retry when no holder answers. Unreachable nodes are asked
 * again about once a second. */
constexpr std::chrono::milliseconds unavailable_retry{500};

} // namespace

auto quota_client::admit(const std::string& organisation, const quota_limit& limit,
                         const std::shared_ptr<const quota_nodes>& nodes, instant now,
                         quota_reply_hook reply) -> quota_wait_id
{
    if (limit.rate_thousandths_ == 0) {
        reply({quota_verdict::granted, {}});
        return 0;
    }
    remove_idle(now);
    auto& state = state_of(organisation, limit, nodes, now);
    state.leases_.count_demand(now);
    const bool has_token = state.waiting_.empty() && state.leases_.take(now);
    count_expired(state);
    if (has_token) {
        reply({quota_verdict::granted, {}});
        return 0;
    }
    if (const auto refused = state.leases_.refused_for(now); refused > duration(0)) {
        reply({quota_verdict::exceeded, std::chrono::ceil<std::chrono::milliseconds>(refused)});
        return 0;
    }
    const auto wait = ++last_wait_;
    state.waiting_.push_back({wait, std::move(reply)});
    if (!state.is_asking_) {
        start_ask(state, now);
    }
    const auto still_waits = std::ranges::any_of(
        state.waiting_, [wait](const auto& other) { return other.id_ == wait; });
    return still_waits ? wait : 0;
}

void quota_client::cancel(const std::string& organisation, quota_wait_id wait)
{
    const auto found = organisations_.find(organisation);
    if (found != organisations_.end()) {
        std::erase_if(found->second.waiting_,
                      [wait](const auto& waiting) { return waiting.id_ == wait; });
    }
}

auto quota_client::state_of(const std::string& organisation, const quota_limit& limit,
                            const std::shared_ptr<const quota_nodes>& nodes, instant now)
    -> organisation_state&
{
    auto& state = organisations_[organisation];
    state.used_at_ = now;
    if (state.limit_ != limit) {
        state.name_ = organisation;
        state.limit_ = limit;
        state.leases_.clear_refusal();
    }
    if (state.nodes_ != nodes) {
        auto holders =
            nodes ? choose_holders(organisation, nodes->addresses_) : std::vector<std::string>();
        const bool is_changed = !state.holders_.empty() && !holders.empty() &&
                                state.holders_.front() != holders.front();
        // An ask in progress goes on with its position in the new list.
        state.holders_ = std::move(holders);
        state.nodes_ = nodes;
        if (is_changed && hooks_.on_holder_changed_) {
            hooks_.on_holder_changed_(organisation, state.holders_.front());
        }
    }
    return state;
}

void quota_client::start_ask(organisation_state& state, instant now)
{
    state.is_asking_ = true;
    state.candidate_ = 0;
    state.needed_ = state.waiting_.size();
    state.began_ = now;
    ask_candidates(state, now);
}

void quota_client::ask_candidates(organisation_state& state, instant now)
{
    for (; state.candidate_ < state.holders_.size(); ++state.candidate_) {
        const auto address = state.holders_[state.candidate_];
        const bool is_own = address == state.nodes_->own_;
        if (!is_own && reachability_.is_unreachable(address)) {
            probe(state, address, now);
            continue;
        }
        if (state.candidate_ > 0 && hooks_.on_fallback_) {
            hooks_.on_fallback_(quota_fallback::next_holder);
        }
        state.asked_at_ = now;
        const quota_ask ask{state.name_,
                            state.needed_,
                            state.leases_.tokens_ahead(now),
                            state.leases_.return_expired(address, now),
                            state.limit_,
                            false};
        count_expired(state);
        if (!is_own) {
            hooks_.send_(address, ask, ask_timeout,
                         [this, organisation = state.name_, address, number = ++state.ask_number_](
                             const std::optional<quota_grant>& grant, instant answered_at) {
                             on_answer(organisation, address, number, grant, answered_at);
                         });
            return;
        }
        const auto role = state.candidate_ == 0 ? holder_role::holder : holder_role::substitute;
        if (const auto grant = hooks_.grant_here_(ask, role, now)) {
            on_grant(state, address, *grant, now);
            return;
        }
    }
    refuse_waiting(state);
}

void quota_client::probe(const organisation_state& state, const std::string& address, instant now)
{
    if (!reachability_.begin_probe(address, now)) {
        return;
    }
    hooks_.send_(address, {state.name_, 0, 0, 0, state.limit_, false}, ask_timeout,
                 [this, address](const std::optional<quota_grant>& grant, instant) {
                     if (grant) {
                         reachability_.on_answer(address);
                     }
                 });
}

void quota_client::on_answer(const std::string& organisation, const std::string& address,
                             std::uint64_t ask_number, const std::optional<quota_grant>& grant,
                             instant now)
{
    if (grant) {
        reachability_.on_answer(address);
    }
    else if (reachability_.on_failure(address, now) && hooks_.on_unreachable_) {
        hooks_.on_unreachable_(organisation, address);
    }
    const auto found = organisations_.find(organisation);
    if (found == organisations_.end() || !found->second.is_asking_ ||
        found->second.ask_number_ != ask_number) {
        return;
    }
    auto& state = found->second;
    if (grant) {
        on_grant(state, address, *grant, now);
        return;
    }
    ++state.candidate_;
    ask_candidates(state, now);
}

void quota_client::on_grant(organisation_state& state, const std::string& address,
                            const quota_grant& grant, instant now)
{
    const auto needed = state.needed_;
    state.is_asking_ = false;
    state.leases_.add(grant, address, needed, state.asked_at_, now);
    count_expired(state);
    std::vector<quota_reply_hook> granted;
    while (!state.waiting_.empty() && state.leases_.take(now)) {
        granted.push_back(std::move(state.waiting_.front().reply_));
        state.waiting_.pop_front();
    }
    std::deque<waiting_request> refused;
    if (grant.tokens_ < needed) {
        refused = std::exchange(state.waiting_, {});
    }
    if (hooks_.on_answer_) {
        hooks_.on_answer_(needed, grant.tokens_, refused.size(), now - state.began_);
    }
    if (!state.waiting_.empty()) {
        start_ask(state, now);
    }
    // The replies come last, since they may call admit() and cancel().
    for (const auto& reply : granted) {
        reply({quota_verdict::granted, {}});
    }
    for (const auto& request : refused) {
        request.reply_({quota_verdict::exceeded, grant.retry_after_});
    }
}

void quota_client::refuse_waiting(organisation_state& state)
{
    state.is_asking_ = false;
    for (const auto& request : std::exchange(state.waiting_, {})) {
        if (hooks_.on_fallback_) {
            hooks_.on_fallback_(quota_fallback::unavailable);
        }
        request.reply_({quota_verdict::unavailable, unavailable_retry});
    }
}

void quota_client::count_expired(organisation_state& state)
{
    const auto tokens = state.leases_.take_expired_count();
    if (tokens > 0 && hooks_.on_expired_) {
        hooks_.on_expired_(tokens);
    }
}

void quota_client::remove_idle(instant now)
{
    if (now < next_removal_) {
        return;
    }
    next_removal_ = now + removal_interval;
    std::erase_if(organisations_, [now](const auto& item) {
        return !item.second.is_asking_ && item.second.waiting_.empty() &&
               now - item.second.used_at_ > max_idle;
    });
}

} // namespace sycamorewinch
