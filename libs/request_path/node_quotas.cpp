#include "request_path/node_quotas.h"

#include <algorithm>
#include <utility>

namespace sycamorewinch {

node_quotas::node_quotas(std::string own_address, metrics_registry& registry)
    : nodes_(std::make_shared<const quota_nodes>(quota_nodes{std::move(own_address), {}})),
      registry_(registry)
{
}

void node_quotas::set_addresses(std::vector<std::string> addresses)
{
    std::ranges::sort(addresses);
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    const auto current = nodes();
    if (current->addresses_ == addresses) {
        return;
    }
    const auto next =
        std::make_shared<const quota_nodes>(quota_nodes{current->own_, std::move(addresses)});
    nodes_.publish(next);
    const std::lock_guard guard(mutex_);
    holder_.on_nodes_changed(
        [&next](const std::string& organisation) { return is_holder(organisation, *next); });
}

auto node_quotas::grant(const quota_ask& ask, const quota_limit& limit, holder_role role,
                        instant now) -> quota_grant
{
    const auto grant = [&] {
        const std::lock_guard guard(mutex_);
        return holder_.grant(ask, limit, role, now);
    }();
    const auto count = [&](std::string_view result) -> counter& {
        return registry_.count("sycamorewinch_quota_tokens_issued_total",
                               "Tokens that other nodes' or this node's requests needed, by the "
                               "role in which this node answered and by result.",
                               {{"role", holder_role_names.name(role)}, {"result", result}});
    };
    count("granted").add(std::min(grant.tokens_, ask.needed_));
    count("refused").add(ask.needed_ - std::min(grant.tokens_, ask.needed_));
    return grant;
}

void node_quotas::end_substitution(const std::string& organisation)
{
    const std::lock_guard guard(mutex_);
    holder_.end_substitution(organisation);
}

void node_quotas::clear_buckets()
{
    const std::lock_guard guard(mutex_);
    holder_.clear();
}

void node_quotas::on_answer(std::uint64_t asked, std::uint64_t granted, std::uint64_t refused,
                            duration elapsed)
{
    const auto count = [this](std::string_view result) -> counter& {
        return registry_.count("sycamorewinch_quota_tokens_total",
                               "Tokens that this node asked holders for, by result.",
                               {{"result", result}});
    };
    count("asked").add(asked);
    count("granted").add(granted);
    count("refused").add(refused);
    registry_
        .seconds("sycamorewinch_quota_answer_seconds",
                 "Time from a request for tokens to the answer of a holder.")
        .record(to_seconds(elapsed));
}

void node_quotas::on_expired(std::uint64_t tokens)
{
    registry_
        .count("sycamorewinch_quota_tokens_total",
               "Tokens that this node asked holders for, by result.", {{"result", "expired"}})
        .add(tokens);
}

void node_quotas::on_fallback(quota_fallback kind)
{
    registry_
        .count("sycamorewinch_quota_fallbacks_total",
               "Requests decided without the first holder of their quota, by kind.",
               {{"kind", quota_fallback_names.name(kind)}})
        .add();
}

} // namespace sycamorewinch
