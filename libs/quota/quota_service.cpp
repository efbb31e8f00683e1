#include "quota/quota_service.h"

#include <utility>

namespace sycamorewinch {

namespace {

/** Shorter than ask_timeout, so that the node that asked still gets an answer. */
constexpr std::chrono::milliseconds forward_timeout{150};
/** While a substitute grants, the holder is asked this often whether it answers again: for the time
 * until then both may grant. */
constexpr duration probe_interval = std::chrono::milliseconds(250);
/** A node that has not heard from another one for this time checks whether it is cut off. Among the
 * organisations of a deployment under load, a node is asked many times a second. */
constexpr duration max_silence = std::chrono::milliseconds(500);
/** Other nodes must have asked a substitute within this time for it to grant itself tokens. */
constexpr duration max_peer_silence = std::chrono::seconds(1);

} // namespace

void quota_service::answer(const quota_ask& ask, const quota_nodes& nodes, instant now,
                           grant_hook reply)
{
    reachability_.on_heard(now);
    const auto holders = choose_holders(ask.organisation_, nodes.addresses_, 1);
    if (!holders.empty() && holders.front() == nodes.own_) {
        reply(hooks_.grant_(ask, holder_role::holder, now), now);
        return;
    }
    if (holders.empty() || ask.is_forwarded_) {
        reply(hooks_.grant_(ask, holder_role::substitute, now), now);
        return;
    }
    const auto& holder = holders.front();
    if (reachability_.is_unreachable(holder)) {
        substitutions_[ask.organisation_].peer_asked_at_ = now;
        probe(ask, holder, now);
        reply(hooks_.grant_(ask, holder_role::substitute, now), now);
        return;
    }
    auto forwarded = ask;
    forwarded.is_forwarded_ = true;
    forwarded.returned_ = 0; // these were not issued by the holder
    hooks_.send_(holder, forwarded, forward_timeout,
                 [this, ask, holder, reply = std::move(reply)](
                     const std::optional<quota_grant>& grant, instant answered_at) {
                     if (grant) {
                         on_holder_answered(ask.organisation_, holder, answered_at);
                         reply(grant, answered_at);
                         return;
                     }
                     reachability_.on_failure(holder, answered_at);
                     auto& substitution = substitutions_[ask.organisation_];
                     substitution.peer_asked_at_ = answered_at;
                     substitution.probed_at_ = answered_at;
                     reply(hooks_.grant_(ask, holder_role::substitute, answered_at), answered_at);
                 });
}

auto quota_service::answer_own(const quota_ask& ask, holder_role role, const quota_nodes& nodes,
                               instant now) -> std::optional<quota_grant>
{
    if (role == holder_role::holder) {
        return is_in_contact(ask, nodes, now) ? std::optional(hooks_.grant_(ask, role, now))
                                              : std::nullopt;
    }
    const auto found = substitutions_.find(ask.organisation_);
    if (found == substitutions_.end() || now - found->second.peer_asked_at_ > max_peer_silence) {
        return std::nullopt;
    }
    const auto holders = choose_holders(ask.organisation_, nodes.addresses_, 1);
    if (!holders.empty()) {
        probe(ask, holders.front(), now);
    }
    return hooks_.grant_(ask, role, now);
}

auto quota_service::is_in_contact(const quota_ask& ask, const quota_nodes& nodes, instant now)
    -> bool
{
    if (now - reachability_.heard_at() <= max_silence) {
        return true;
    }
    const bool is_cut_off = cut_off_since_ > reachability_.heard_at();
    if (contacts_asked_ > 0) {
        return !is_cut_off;
    }
    auto others = choose_holders(ask.organisation_, nodes.addresses_);
    std::erase(others, nodes.own_);
    if (others.empty()) {
        return true;
    }
    contacts_asked_ = others.size();
    for (const auto& address : others) {
        hooks_.send_(address, {ask.organisation_, 0, 0, 0, ask.limit_, false}, ask_timeout,
                     [this, address](const std::optional<quota_grant>& grant, instant answered_at) {
                         on_contact_answer(address, grant.has_value(), answered_at);
                     });
    }
    return !is_cut_off;
}

void quota_service::on_contact_answer(const std::string& address, bool is_answered, instant now)
{
    --contacts_asked_;
    if (is_answered) {
        reachability_.on_answer(address, now);
    }
    else if (contacts_asked_ == 0 && now - reachability_.heard_at() > max_silence) {
        cut_off_since_ = now;
        hooks_.on_cut_off_();
    }
}

void quota_service::probe(const quota_ask& ask, const std::string& holder, instant now)
{
    auto& substitution = substitutions_[ask.organisation_];
    if (now - substitution.probed_at_ < probe_interval) {
        return;
    }
    substitution.probed_at_ = now;
    const quota_ask question{ask.organisation_, 0, 0, 0, ask.limit_, true};
    hooks_.send_(holder, question, ask_timeout,
                 [this, organisation = ask.organisation_,
                  holder](const std::optional<quota_grant>& grant, instant answered_at) {
                     if (grant) {
                         on_holder_answered(organisation, holder, answered_at);
                     }
                     else {
                         reachability_.on_failure(holder, answered_at);
                     }
                 });
}

void quota_service::on_holder_answered(const std::string& organisation, const std::string& holder,
                                       instant now)
{
    reachability_.on_answer(holder, now);
    substitutions_.erase(organisation);
    hooks_.end_substitution_(organisation);
}

} // namespace sycamorewinch
