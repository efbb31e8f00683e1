#include "daemon/upstream_selector.h"

#include <algorithm>
#include <tuple>

namespace sycamorewinch {

upstream_selector::upstream_selector(std::vector<peer_address> configured,
                                     std::string availability_zone, random_hook random)
    : configured_(std::move(configured)), availability_zone_(std::move(availability_zone)),
      random_(std::move(random))
{
}

void upstream_selector::set_publishers(const std::vector<publisher_address>& publishers)
{
    publisher_zones_.clear();
    for (const auto& publisher : publishers) {
        if (const auto address = parse_peer_address(publisher.address_)) {
            publisher_zones_[*address] = publisher.availability_zone_;
        }
    }
}

auto upstream_selector::all_upstreams() const -> std::vector<peer_address>
{
    auto addresses = configured_;
    for (const auto& [address, zone] : publisher_zones_) {
        if (std::ranges::find(addresses, address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

auto upstream_selector::is_in_own_zone(const peer_address& address) const -> bool
{
    const auto found = publisher_zones_.find(address);
    return found != publisher_zones_.end() && found->second == availability_zone_;
}

auto upstream_selector::is_in_cooldown(const peer_address& address, instant now) const -> bool
{
    const auto found = last_failures_.find(address);
    return found != last_failures_.end() && now - found->second < upstream_failure_cooldown;
}

auto upstream_selector::next(instant now) const -> peer_address
{
    // Among those that failed recently, the earliest failure has had the longest time to recover.
    const auto rank = [&](const peer_address& address) {
        const auto last_failure = last_failures_.find(address);
        const bool is_cooling_down = is_in_cooldown(address, now);
        return std::tuple(is_cooling_down, is_cooling_down ? last_failure->second : instant(),
                          !is_in_own_zone(address));
    };
    const auto addresses = all_upstreams();
    const auto best = rank(*std::ranges::min_element(addresses, {}, rank));
    std::vector<peer_address> candidates;
    std::ranges::copy_if(addresses, std::back_inserter(candidates),
                         [&](const auto& address) { return rank(address) == best; });
    return candidates[uniform_below(random_, candidates.size())];
}

auto upstream_selector::has_nearer_upstream(const peer_address& current, instant now) const -> bool
{
    return !is_in_own_zone(current) &&
           std::ranges::any_of(publisher_zones_, [&](const auto& publisher) {
               return publisher.second == availability_zone_ &&
                      !is_in_cooldown(publisher.first, now);
           });
}

} // namespace sycamorewinch
