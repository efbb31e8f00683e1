#include "quota/holder_reachability.h"

namespace sycamorewinch {

namespace {

constexpr duration probe_interval = std::chrono::seconds(1);
/** Limits the memory for nodes that left. Nodes that are forgotten are asked once more. */
constexpr std::size_t max_entries = 1'024;

} // namespace

auto holder_reachability::on_failure(const std::string& address, instant now) -> bool
{
    failed_at_ = now;
    if (next_probes_.size() >= max_entries) {
        next_probes_.clear();
    }
    const auto [found, is_new] = next_probes_.try_emplace(address);
    found->second = now + probe_interval;
    return is_new;
}

void holder_reachability::on_answer(const std::string& address)
{
    next_probes_.erase(address);
}

auto holder_reachability::begin_probe(const std::string& address, instant now) -> bool
{
    const auto found = next_probes_.find(address);
    if (found == next_probes_.end() || now < found->second) {
        return false;
    }
    found->second = now + probe_interval;
    return true;
}

} // namespace sycamorewinch
