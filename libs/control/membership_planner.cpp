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

void membership_planner::add_join_request(const std::string& name, instant now)
{
    join_requests_[name] = now;
    leave_requests_.erase(name); // the process has started again
}

void membership_planner::add_leave_request(const std::string& name, instant now)
{
    leave_requests_[name] = now;
    join_requests_.erase(name);
}

auto membership_planner::may_end(const std::string& name, const group_membership& membership,
                                 instant now) const -> bool
{
    const bool has_surplus = membership.voters_.size() > options_.desired_voters_;
    return !membership.is_voter(name) || (!has_surplus && !has_candidate(membership, now));
}

// Twice as many as desired, so that all of them can be replaced at the same time, and one, since an
// even number tolerates no more losses than the odd one below it.
auto membership_planner::max_voters() const -> std::size_t
{
    return 2 * options_.desired_voters_ + 1;
}

auto membership_planner::next(const group_membership& membership, const leader_view& view,
                              instant now) -> std::optional<group_membership>
{
    const auto has_expired = [&](const auto& request) {
        return now - request.second >= options_.request_lifetime_;
    };
    std::erase_if(join_requests_, has_expired);
    std::erase_if(leave_requests_, has_expired);
    if (auto with_learner = add_learner(membership, now)) {
        return with_learner;
    }
    if (auto without_departing_member = remove_departing_member(membership, view, now)) {
        return without_departing_member;
    }
    return promote_learner(membership, view, now);
}

auto membership_planner::has_candidate(const group_membership& membership, instant now) const
    -> bool
{
    const auto may_vote = [this](const auto& name) {
        return !is_leaving(name);
    };
    return std::ranges::any_of(membership.learners_, may_vote) ||
           std::ranges::any_of(join_requests_, [&](const auto& request) {
               return now - request.second < options_.request_lifetime_ &&
                      !membership.is_voter(request.first);
           });
}

auto membership_planner::is_complete(const group_membership& membership, instant now) const -> bool
{
    return membership.voters_.size() >= options_.desired_voters_ || !has_candidate(membership, now);
}

auto membership_planner::is_live(const std::string& name, const leader_view& view,
                                 instant now) const -> bool
{
    if (name == view.leader_) {
        return true;
    }
    const auto peer = view.peers_->find(name);
    return peer != view.peers_->end() && peer->second.has_replied() &&
           now - peer->second.last_reply_at_ < options_.live_timeout_;
}

auto membership_planner::has_live_quorum(const group_membership& next, const leader_view& view,
                                         instant now) const -> bool
{
    const auto live = std::ranges::count_if(
        next.voters_, [&](const auto& name) { return is_live(name, view, now); });
    return static_cast<std::size_t>(live) >= next.quorum();
}

auto membership_planner::add_learner(const group_membership& membership, instant now) const
    -> std::optional<group_membership>
{
    for (const auto& [name, requested_at] : join_requests_) {
        const bool is_member = membership.is_voter(name) || membership.is_learner(name);
        if (!is_member && now - requested_at < options_.request_lifetime_) {
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

auto membership_planner::find_departing_voter(const group_membership& membership,
                                              const leader_view& view, instant now) const
    -> std::optional<std::string>
{
    const auto members = membership.all();
    const auto find = [&membership](const auto& is_departing) -> std::optional<std::string> {
        const auto found = std::ranges::find_if(membership.voters_, is_departing);
        return found == membership.voters_.end() ? std::nullopt : std::optional(*found);
    };
    if (auto superseded = find([&](const auto& name) {
            return name != view.leader_ && is_superseded(name, members);
        })) {
        return superseded;
    }
    if (auto unresponsive = find([&](const auto& name) {
            return is_unresponsive(name, view, options_.voter_timeout_, now);
        })) {
        return unresponsive;
    }
    if (auto leaving =
            find([&](const auto& name) { return name != view.leader_ && is_leaving(name); })) {
        return leaving;
    }
    return is_leaving(view.leader_) ? std::optional(view.leader_) : std::nullopt;
}

auto membership_planner::promote_learner(const group_membership& membership,
                                         const leader_view& view, instant now) const
    -> std::optional<group_membership>
{
    if (membership.voters_.size() >= max_voters()) {
        return std::nullopt;
    }
    for (const auto& name : membership.learners_) {
        const auto peer = view.peers_->find(name);
        const bool has_caught_up =
            peer != view.peers_->end() && peer->second.match_index_ > 0 &&
            peer->second.match_index_ + options_.max_learner_lag_entries_ >= view.last_index_;
        if (!has_caught_up || !is_live(name, view, now) || is_leaving(name)) {
            continue;
        }
        auto next = membership;
        next.learners_ = without(next.learners_, name);
        next.voters_.push_back(name);
        if (has_live_quorum(next, view, now)) {
            return next;
        }
    }
    return std::nullopt;
}

auto membership_planner::remove_departing_member(const group_membership& membership,
                                                 const leader_view& view, instant now) const
    -> std::optional<group_membership>
{
    auto next = membership;
    if (membership.voters_.size() > options_.desired_voters_) {
        if (const auto departing = find_departing_voter(membership, view, now)) {
            next.voters_ = without(next.voters_, *departing);
            if (has_live_quorum(next, view, now)) {
                return next;
            }
            next = membership;
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
