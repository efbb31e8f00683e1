#include "control/membership_planner.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

/** Returns whether another member stands at the address of \p name: its disk was replaced. */
auto is_superseded(const std::string& name, const std::vector<std::string>& members) -> bool
{
    const auto address = replica_address_of(name);
    const auto own = std::ranges::find(members, name);
    // Later members were let in later.
    return own != members.end() && std::any_of(own + 1, members.end(), [&](const auto& other) {
               return replica_address_of(other) == address;
           });
}

auto is_silent(const std::string& name, const leader_view& view, duration limit, instant now)
    -> bool
{
    const auto peer = view.peers_->find(name);
    return name != view.leader_ && peer != view.peers_->end() && now - peer->second.heard_ >= limit;
}

auto without(std::vector<std::string> names, const std::string& name) -> std::vector<std::string>
{
    std::erase(names, name);
    return names;
}

} // namespace

auto replica_address_of(std::string_view name) -> std::string
{
    return std::string(name.substr(0, name.find(replica_life_separator)));
}

auto membership_planner::next(const group_membership& membership, const leader_view& view,
                              instant now) -> std::optional<group_membership>
{
    std::erase_if(candidates_, [&](const auto& candidate) {
        return now - candidate.second >= options_.candidate_lasts_;
    });
    if (auto larger = let_in(membership, now)) {
        return larger;
    }
    if (auto smaller = take_out(membership, view, now)) {
        return smaller;
    }
    return promote(membership, view, now);
}

auto membership_planner::is_complete(const group_membership& membership, instant now) const -> bool
{
    const bool is_any_on_its_way =
        !membership.learners_.empty() || std::ranges::any_of(candidates_, [&](const auto& one) {
            return now - one.second < options_.candidate_lasts_ && !membership.is_voter(one.first);
        });
    return membership.voters_.size() >= options_.desired_voters_ || !is_any_on_its_way;
}

auto membership_planner::let_in(const group_membership& membership, instant now) const
    -> std::optional<group_membership>
{
    for (const auto& [name, asked] : candidates_) {
        const bool is_member = membership.is_voter(name) || membership.is_learner(name);
        if (!is_member && now - asked < options_.candidate_lasts_) {
            auto next = membership;
            // An earlier learner at this address has lost its disk.
            std::erase_if(next.learners_, [address = replica_address_of(name)](const auto& one) {
                return replica_address_of(one) == address;
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
    const auto silent = std::ranges::find_if(membership.voters_, [&](const auto& name) {
        return is_silent(name, view, options_.lost_after_, now);
    });
    return silent == membership.voters_.end() ? std::nullopt : std::optional(*silent);
}

auto membership_planner::promote(const group_membership& membership, const leader_view& view,
                                 instant now) const -> std::optional<group_membership>
{
    const bool is_short = membership.voters_.size() < options_.desired_voters_;
    if (!is_short && !find_lost_voter(membership, view, now)) {
        return std::nullopt;
    }
    for (const auto& name : membership.learners_) {
        const auto peer = view.peers_->find(name);
        const bool has_caught_up =
            peer != view.peers_->end() && peer->second.match_ > 0 &&
            peer->second.match_ + options_.entries_behind_ >= view.last_index_ &&
            !is_silent(name, view, options_.lost_after_ / 3, now);
        if (has_caught_up) {
            auto next = membership;
            next.learners_ = without(next.learners_, name);
            next.voters_.push_back(name);
            return next;
        }
    }
    return std::nullopt;
}

auto membership_planner::take_out(const group_membership& membership, const leader_view& view,
                                  instant now) const -> std::optional<group_membership>
{
    auto next = membership;
    if (membership.voters_.size() > options_.desired_voters_) {
        if (const auto lost = find_lost_voter(membership, view, now)) {
            next.voters_ = without(next.voters_, *lost);
            return next;
        }
    }
    const auto gone = std::ranges::find_if(membership.learners_, [&](const auto& name) {
        return is_silent(name, view, options_.learner_lost_after_, now);
    });
    if (gone != membership.learners_.end()) {
        next.learners_ = without(next.learners_, *gone);
        return next;
    }
    return std::nullopt;
}

} // namespace sycamorewinch
