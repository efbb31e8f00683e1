#include "quota/holder_choice.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/digest.h"

namespace sycamorewinch {

auto choose_holders(std::string_view organisation, const std::vector<std::string>& addresses,
                    std::size_t count) -> std::vector<std::string>
{
    std::vector<std::pair<std::uint64_t, const std::string*>> order;
    order.reserve(addresses.size());
    for (const auto& address : addresses) {
        order.emplace_back(hash_of(organisation, hash_of(address)), &address);
    }
    const auto chosen = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(chosen),
                      order.end(), [](const auto& one, const auto& other) {
                          return one.first != other.first ? one.first > other.first
                                                          : *one.second < *other.second;
                      });
    std::vector<std::string> holders;
    for (std::size_t position = 0; position < chosen; ++position) {
        holders.push_back(*order[position].second);
    }
    return holders;
}

auto is_holder(std::string_view organisation, const quota_nodes& nodes) -> bool
{
    const auto first = choose_holders(organisation, nodes.addresses_, 1);
    return !first.empty() && first.front() == nodes.own_;
}

} // namespace sycamorewinch
