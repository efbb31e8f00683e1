#include "quota/quota_service.h"

#include <algorithm>
#include <utility>

namespace sycamorewinch {

namespace {

/** Shorter than ask_timeout, so that the node that asked still gets an answer. */
constexpr std::chrono::milliseconds forward_timeout{150};
/** While a substitute grants, those before it are asked this often whether they answer again: for
 * the time until then both may grant. */
constexpr duration probe_interval = std::chrono::milliseconds(250);
/** Other nodes must have asked a substitute within this time for it to grant itself tokens. */
constexpr duration max_peer_silence = std::chrono::seconds(1);

} // namespace

auto quota_service::nodes_before_own(const std::string& organisation, const quota_nodes& nodes)
    -> std::vector<std::string>
{
    auto holders = choose_holders(organisation, nodes.addresses_);
    holders.erase(std::ranges::find(holders, nodes.own_), holders.end());
    return holders;
}

// Askers reach different nodes for a while after a cut. Each of these passes the question on to the
// first one that it reaches itself, so that they soon agree on one that grants.
void quota_service::answer(const quota_ask& ask, const quota_nodes& nodes, instant now,
                           grant_hook reply)
{
    const bool asks_for_nothing = ask.needed_ + ask.ahead_ + ask.returned_ == 0;
    if (asks_for_nothing) {
        // A bucket would fill while another node grants.
        const bool is_for_contact = ask.organisation_.empty();
        const bool answers = is_for_contact || contact_.state(nodes, now) != contact_state::lost;
        reply(answers ? std::optional(quota_grant{0, lease_lifetime, {}}) : std::nullopt, now);
        return;
    }
    const auto before_own = nodes_before_own(ask.organisation_, nodes);
    if (before_own.empty()) {
        reply(answer_own(ask, holder_role::holder, nodes, now), now);
        return;
    }
    if (ask.is_forwarded_) {
        answer_as_substitute(ask, nodes, now, std::move(reply));
        return;
    }
    for (const auto& holder : before_own) {
        if (!reachability_.is_unreachable(holder)) {
            forward(ask, holder, nodes, std::move(reply));
            return;
        }
        probe(ask, holder, now);
    }
    substitutions_[ask.organisation_].peer_asked_at_ = now;
    answer_as_substitute(ask, nodes, now, std::move(reply));
}

void quota_service::forward(const quota_ask& ask, const std::string& holder,
                            const quota_nodes& nodes, grant_hook reply)
{
    auto forwarded = ask;
    forwarded.is_forwarded_ = true;
    forwarded.returned_ = 0; // these were not issued by the holder
    hooks_.send_(holder, forwarded, forward_timeout,
                 [this, ask, holder, nodes, reply = std::move(reply)](
                     const std::optional<quota_grant>& grant, instant answered_at) {
                     if (grant) {
                         on_holder_answered(ask.organisation_, holder);
                         reply(grant, answered_at);
                         return;
                     }
                     reachability_.on_failure(holder, answered_at);
                     auto& substitution = substitutions_[ask.organisation_];
                     substitution.peer_asked_at_ = answered_at;
                     substitution.probed_at_[holder] = answered_at;
                     answer_as_substitute(ask, nodes, answered_at, reply);
                 });
}

void quota_service::answer_as_substitute(const quota_ask& ask, const quota_nodes& nodes,
                                         instant now, grant_hook reply)
{
    contact_.confirm(
        nodes, now, [this, ask, reply = std::move(reply)](bool is_confirmed, instant answered_at) {
            reply(is_confirmed
                      ? std::optional(hooks_.grant_(ask, holder_role::substitute, answered_at))
                      : std::nullopt,
                  answered_at);
        });
}

auto quota_service::answer_own(const quota_ask& ask, holder_role role, const quota_nodes& nodes,
                               instant now) -> std::optional<quota_grant>
{
    const auto contact = contact_.state(nodes, now);
    if (role == holder_role::holder) {
        return contact != contact_state::lost ? std::optional(hooks_.grant_(ask, role, now))
                                              : std::nullopt;
    }
    const auto found = substitutions_.find(ask.organisation_);
    if (found == substitutions_.end() || now - found->second.peer_asked_at_ > max_peer_silence) {
        return std::nullopt;
    }
    for (const auto& holder : nodes_before_own(ask.organisation_, nodes)) {
        probe(ask, holder, now);
    }
    return contact == contact_state::confirmed ? std::optional(hooks_.grant_(ask, role, now))
                                               : std::nullopt;
}

void quota_service::probe(const quota_ask& ask, const std::string& holder, instant now)
{
    auto& probed_at = substitutions_[ask.organisation_].probed_at_[holder];
    if (now - probed_at < probe_interval) {
        return;
    }
    probed_at = now;
    const quota_ask question{ask.organisation_, 0, 0, 0, ask.limit_, true};
    hooks_.send_(holder, question, ask_timeout,
                 [this, organisation = ask.organisation_,
                  holder](const std::optional<quota_grant>& grant, instant answered_at) {
                     if (grant) {
                         on_holder_answered(organisation, holder);
                     }
                     else {
                         reachability_.on_failure(holder, answered_at);
                     }
                 });
}

void quota_service::on_holder_answered(const std::string& organisation, const std::string& holder)
{
    reachability_.on_answer(holder);
    substitutions_.erase(organisation);
    hooks_.end_substitution_(organisation);
}

} // namespace sycamorewinch
