#include "request_path/worker_quotas.h"

#include <utility>

#include "observability/log.h"

namespace sycamorewinch {

namespace {

auto limit_of(const organisation& organisation) -> quota_limit
{
    return {organisation.rate_thousandths_, organisation.burst_};
}

} // namespace

worker_quotas::worker_quotas(node_state& node, peer_connections& peers)
    : node_(node), peers_(peers), service_(reachability_, make_service_hooks()),
      client_(reachability_, make_client_hooks())
{
}

auto worker_quotas::make_service_hooks() -> quota_service_hooks
{
    return {[this](const auto& address, const auto& ask, auto timeout, auto answer) {
                send(address, ask, timeout, std::move(answer));
            },
            [this] { return node_.quotas().proved_at(); },
            node_.quotas().max_proof_age(),
            [this](const auto& ask, auto role, auto now) { return grant(ask, role, now); },
            [this](const auto& organisation) { node_.quotas().end_substitution(organisation); },
            [this] {
                log_event(log_level::warning, "quota_holder_cut_off", {});
                node_.quotas().clear_buckets();
            }};
}

auto worker_quotas::make_client_hooks() -> quota_client_hooks
{
    quota_client_hooks hooks;
    hooks.send_ = [this](const auto& address, const auto& ask, auto timeout, auto answer) {
        send(address, ask, timeout, std::move(answer));
    };
    hooks.grant_here_ = [this](const auto& ask, auto role, auto now) {
        return service_.answer_own(ask, role, *node_.quotas().nodes(), now);
    };
    hooks.on_answer_ = [this](auto asked, auto granted, auto refused, auto elapsed) {
        node_.quotas().on_answer(asked, granted, refused, elapsed);
    };
    hooks.on_expired_ = [this](auto tokens) {
        node_.quotas().on_expired(tokens);
    };
    hooks.on_fallback_ = [this](auto kind) {
        node_.quotas().on_fallback(kind);
    };
    hooks.on_unreachable_ = [](const auto& organisation, const auto& holder) {
        log_event(log_level::warning, "quota_holder_unreachable",
                  {{"organisation", organisation}, {"holder", holder}});
    };
    hooks.on_holder_changed_ = [](const auto& organisation, const auto& holder) {
        log_event(log_level::info, "quota_holder_changed",
                  {{"organisation", organisation}, {"holder", holder}});
    };
    return hooks;
}

auto worker_quotas::admit(const organisation& organisation, quota_reply_hook reply) -> quota_wait_id
{
    return client_.admit(organisation.name_, limit_of(organisation), node_.quotas().nodes(),
                         monotonic_now(), std::move(reply));
}

void worker_quotas::cancel(const std::string& organisation, quota_wait_id wait)
{
    client_.cancel(organisation, wait);
}

void worker_quotas::answer(const quota_ask& ask, quota_answer_hook reply)
{
    service_.answer(ask, *node_.quotas().nodes(), monotonic_now(),
                    [reply = std::move(reply)](const std::optional<quota_grant>& grant, instant) {
                        reply(grant);
                    });
}

void worker_quotas::send(const std::string& address, const quota_ask& ask,
                         std::chrono::milliseconds timeout, grant_hook answer)
{
    const auto peer = parse_peer_address(address);
    if (!peer) {
        answer(std::nullopt, monotonic_now());
        return;
    }
    send_quota_ask(peers_, *peer, ask, timeout,
                   [lifetime = std::weak_ptr(lifetime_), answer = std::move(answer)](
                       const std::optional<quota_grant>& grant, instant now) {
                       if (!lifetime.expired()) {
                           answer(grant, now);
                       }
                   });
}

auto worker_quotas::grant(const quota_ask& ask, holder_role role, instant now) -> quota_grant
{
    const auto table = node_.routes()->table_in_force();
    const auto* known = table ? table->find_organisation(ask.organisation_) : nullptr;
    return node_.quotas().grant(ask, known != nullptr ? limit_of(*known) : ask.limit_, role, now);
}

} // namespace sycamorewinch
