#include "policy/version_choice.h"

#include <algorithm>
#include <tuple>

#include "base/digest.h"

namespace sycamorewinch {

namespace {

/** Keeps the targets that carry \p share of the calls, in their original order. The number of the
 * roll-out is the seed, so that successive roll-outs do not all begin with the same targets. */
void keep_subset(std::vector<const target_record*>& targets, std::uint32_t share, std::uint64_t id)
{
    const auto count = (targets.size() * share + whole_share - 1) / whole_share;
    const auto rank_of = [id](const target_record* target) {
        return std::tuple(hash_of(target->target_, id), std::string_view(target->target_));
    };
    if (count == 0) {
        targets.clear();
        return;
    }
    auto ranked = targets;
    const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::ranges::nth_element(ranked, last, {}, rank_of);
    const auto last_rank = rank_of(*last);
    std::erase_if(targets, [&](const auto* target) { return rank_of(target) > last_rank; });
}

} // namespace

auto divide_by_version(const rollout& rollout, const std::vector<const target_record*>& targets)
    -> version_sides
{
    version_sides sides;
    for (const auto* target : targets) {
        const bool is_new = target->software_version_ == rollout.new_version_;
        (is_new ? sides.new_ : sides.old_).push_back(target);
    }
    switch (rollout.state_) {
    case rollout_state::running:
        keep_subset(sides.new_, rollout.share_, rollout.id_);
        break;
    case rollout_state::completed:
        if (!sides.new_.empty()) {
            sides.old_.clear();
        }
        break;
    case rollout_state::rolled_back:
        sides.new_.clear();
        break;
    }
    return sides;
}

auto choose_version(const service_route& route, instant now, const random_hook& random)
    -> const service_route&
{
    if (!route.versions_) {
        return route;
    }
    const auto& versions = *route.versions_;
    if (versions.currency_ && !versions.currency_->is_current(now)) {
        return versions.old_;
    }
    return uniform_below(random, whole_share) < versions.share_ ? versions.new_ : versions.old_;
}

} // namespace sycamorewinch
