#include "daemon/upstream_choice.h"

#include <algorithm>
#include <tuple>

namespace sycamorewinch {

upstream_choice::upstream_choice(std::vector<peer_address> configured,
                                 std::string availability_zone, random_hook random)
    : configured_(std::move(configured)), availability_zone_(std::move(availability_zone)),
      random_(std::move(random))
{
}

void upstream_choice::set_publishers(const std::vector<publisher_address>& publishers)
{
    zones_.clear();
    for (const auto& publisher : publishers) {
        if (const auto address = parse_peer_address(publisher.address_)) {
            zones_[*address] = publisher.availability_zone_;
        }
    }
}

auto upstream_choice::all() const -> std::vector<peer_address>
{
    auto addresses = configured_;
    for (const auto& [address, zone] : zones_) {
        if (std::ranges::find(addresses, address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

auto upstream_choice::is_near(const peer_address& address) const -> bool
{
    const auto found = zones_.find(address);
    return found != zones_.end() && found->second == availability_zone_;
}

auto upstream_choice::is_avoided(const peer_address& address, instant now) const -> bool
{
    const auto found = failed_.find(address);
    return found != failed_.end() && now - found->second < upstream_avoided_for;
}

auto upstream_choice::next(instant now) const -> peer_address
{
    // Of those that failed lately, the one that failed first has had the longest time to recover.
    const auto rank = [&](const peer_address& address) {
        const auto failed = failed_.find(address);
        const bool is_bad = is_avoided(address, now);
        return std::tuple(is_bad, is_bad ? failed->second : instant(), !is_near(address));
    };
    const auto addresses = all();
    const auto best = rank(*std::ranges::min_element(addresses, {}, rank));
    std::vector<peer_address> equal;
    std::ranges::copy_if(addresses, std::back_inserter(equal),
                         [&](const auto& address) { return rank(address) == best; });
    return equal[uniform_below(random_, equal.size())];
}

auto upstream_choice::is_nearer_known(const peer_address& current, instant now) const -> bool
{
    return !is_near(current) && std::ranges::any_of(zones_, [&](const auto& publisher) {
        return publisher.second == availability_zone_ && !is_avoided(publisher.first, now);
    });
}

} // namespace sycamorewinch
