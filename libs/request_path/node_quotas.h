/** \file
 * The part of a node's quotas that its threads share: the nodes among which holders are chosen, the
 * token buckets that this node holds, and the metrics.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "concurrency/rcu_cell.h"
#include "observability/metrics.h"
#include "quota/quota_client.h"
#include "quota/quota_service.h"

namespace sycamorewinch {

/** Thread-safe, except set_addresses(). */
class node_quotas {
  public:
    node_quotas(std::string own_address, metrics_registry& registry);

    /** Returns the nodes that may hold quotas. */
    [[nodiscard]] auto nodes() const -> std::shared_ptr<const quota_nodes> { return nodes_.read(); }
    /** Sets the addresses of the nodes that may hold quotas, in any order. Buckets that this node
     * no longer holds are dropped. For the thread that publishes routes. */
    void set_addresses(std::vector<std::string> addresses);

    /** Answers \p ask with tokens of this node's bucket; see quota_holder::grant(). */
    [[nodiscard]] auto grant(const quota_ask& ask, const quota_limit& limit, holder_role role,
                             instant now) -> quota_grant;
    void end_substitution(const std::string& organisation);
    void clear_buckets();

    /** Sets how old a proof of currency may be for it to show that this node is in contact with the
     * control group. Call before the workers start. */
    void set_max_proof_age(duration age) { max_proof_age_ = age; }
    [[nodiscard]] auto max_proof_age() const -> duration { return max_proof_age_; }
    /** Takes note that a proof of currency has arrived. */
    void on_proof(instant now) { proved_at_us_ = now.time_since_epoch().count(); }
    /** Returns when the latest one arrived. */
    [[nodiscard]] auto proved_at() const -> instant { return instant(duration(proved_at_us_)); }

    // Observers for the clients of all threads.
    void on_answer(std::uint64_t asked, std::uint64_t granted, std::uint64_t refused,
                   duration elapsed);
    void on_expired(std::uint64_t tokens);
    void on_fallback(quota_fallback kind);

  private:
    rcu_cell<quota_nodes> nodes_;
    duration max_proof_age_{};
    std::atomic<std::int64_t> proved_at_us_{0};
    metrics_registry& registry_;
    /** Held for the arithmetic of one bucket only; nearly all requests of other nodes for tokens
     * are of different organisations, and a node has few threads. */
    std::mutex mutex_;
    quota_holder holder_; ///< Guarded by mutex_.
};

} // namespace sycamorewinch
