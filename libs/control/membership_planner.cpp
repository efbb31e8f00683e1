#include "control/membership_planner.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** Returns whether a later member has the address of \p name, which means that the disk of \p name
 * was replaced. */
auto is_superseded(const std::string& name, const std::vector<std::string>& members) -> bool
{
    const auto address = replica_address_of(name);
    const auto member = std::ranges::find(members, name);
    // Members are listed in the order in which they were added.
    return member != members.end() &&
           std::any_of(member + 1, members.end(),
                       [&](const auto& other) { return replica_address_of(other) == address; });
}

auto is_unresponsive(const std::string& name, const leader_view& view, duration limit, instant now)
    -> bool
{
    const auto peer = view.peers_->find(name);
    return name != view.leader_ && peer != view.peers_->end() &&
           now - peer->second.last_reply_at_ >= limit;
}

auto without(std::vector<std::string> names, const std::string& name) -> std::vector<std::string>
{
    std::erase(names, name);
    return names;
}

} // namespace

auto replica_address_of(std::string_view name) -> std::string
{
    return std::string(name.substr(0, name.find(replica_incarnation_separator)));
}

auto membership_planner::next(const group_membership& membership, const leader_view& view,
                              instant now) -> std::optional<group_membership>
{
    std::erase_if(join_requests_, [&](const auto& request) {
        return now - request.second >= options_.join_request_lifetime_;
    });
    if (auto with_learner = add_learner(membership, now)) {
        return with_learner;
    }
    if (auto without_lost_member = remove_lost_member(membership, view, now)) {
        return without_lost_member;
    }
    return promote_learner(membership, view, now);
}

auto membership_planner::is_complete(const group_membership& membership, instant now) const -> bool
{
    const bool has_prospective_voter =
        !membership.learners_.empty() ||
        std::ranges::any_of(join_requests_, [&](const auto& request) {
            return now - request.second < options_.join_request_lifetime_ &&
                   !membership.is_voter(request.first);
        });
    return membership.voters_.size() >= options_.desired_voters_ || !has_prospective_voter;
}

auto membership_planner::add_learner(const group_membership& membership, instant now) const
    -> std::optional<group_membership>
{
    for (const auto& [name, requested_at] : join_requests_) {
        const bool is_member = membership.is_voter(name) || membership.is_learner(name);
        if (!is_member && now - requested_at < options_.join_request_lifetime_) {
            auto next = membership;
            // An earlier learner at this address has lost its disk and will not come back.
            std::erase_if(next.learners_,
                          [address = replica_address_of(name)](const auto& learner) {
                              return replica_address_of(learner) == address;
                          });
            next.learners_.push_back(name);
            return next;
        }
    }
    return std::nullopt;
}

auto membership_planner::find_lost_voter(const group_membership& membership,
                                         const leader_view& view, instant now) const
    -> std::optional<std::string>
{
    const auto members = membership.all();
    const auto superseded = std::ranges::find_if(membership.voters_, [&](const auto& name) {
        return name != view.leader_ && is_superseded(name, members);
    });
    if (superseded != membership.voters_.end()) {
        return *superseded;
    }
    const auto unresponsive = std::ranges::find_if(membership.voters_, [&](const auto& name) {
        return is_unresponsive(name, view, options_.voter_timeout_, now);
    });
    return unresponsive == membership.voters_.end() ? std::nullopt : std::optional(*unresponsive);
}

auto membership_planner::promote_learner(const group_membership& membership,
                                         const leader_view& view, instant now) const
    -> std::optional<group_membership>
{
    const bool lacks_voters = membership.voters_.size() < options_.desired_voters_;
    if (!lacks_voters && !find_lost_voter(membership, view, now)) {
        return std::nullopt;
    }
    for (const auto& name : membership.learners_) {
        const auto peer = view.peers_->find(name);
        const bool has_caught_up =
            peer != view.peers_->end() && peer->second.match_index_ > 0 &&
            peer->second.match_index_ + options_.max_learner_lag_entries_ >= view.last_index_ &&
            !is_unresponsive(name, view, options_.voter_timeout_ / 3, now);
        if (has_caught_up) {
            auto next = membership;
            next.learners_ = without(next.learners_, name);
            next.voters_.push_back(name);
            return next;
        }
    }
    return std::nullopt;
}

auto membership_planner::remove_lost_member(const group_membership& membership,
                                            const leader_view& view, instant now) const
    -> std::optional<group_membership>
{
    auto next = membership;
    if (membership.voters_.size() > options_.desired_voters_) {
        if (const auto lost = find_lost_voter(membership, view, now)) {
            next.voters_ = without(next.voters_, *lost);
            return next;
        }
    }
    const auto lost_learner = std::ranges::find_if(membership.learners_, [&](const auto& name) {
        return is_unresponsive(name, view, options_.learner_timeout_, now);
    });
    if (lost_learner != membership.learners_.end()) {
        next.learners_ = without(next.learners_, *lost_learner);
        return next;
    }
    return std::nullopt;
}

} // namespace sycamorewinch
