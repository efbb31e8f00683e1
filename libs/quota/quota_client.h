/** \file
 * Decides whether a request of an organisation is within its quota, by tokens that the holder of
 * the quota grants.
 *
 * If the holder does not answer, the next nodes in rendezvous order are asked. A node that none of
 * them answers uses the tokens that it still has and grants no others: the holder grants the whole
 * quota to the nodes that reach it, since it cannot know in time which ones do not.
 */
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/enum_names.h"
#include "quota/holder_choice.h"
#include "quota/holder_reachability.h"
#include "quota/quota_holder.h"
#include "quota/quota_hooks.h"
#include "quota/quota_leases.h"
#include "quota/quota_message.h"

namespace sycamorewinch {

/** How long a node waits for the answer of another one. */
constexpr std::chrono::milliseconds ask_timeout{250};

/** The answer to a request of an organisation. */
enum class quota_verdict : std::uint8_t {
    granted,
    exceeded,    ///< The holder has no token.
    unavailable, ///< No holder answered.
};

struct quota_reply {
    quota_verdict verdict_ = quota_verdict::unavailable;
    std::chrono::milliseconds retry_after_{0}; ///< Unless granted: until there is capacity.
};

using quota_reply_hook = std::function<void(const quota_reply& reply)>;

/** How a request was decided without an answer of the first holder. */
enum class quota_fallback : std::uint8_t {
    next_holder, ///< The next node in rendezvous order was asked.
    unavailable, ///< No node answered.
};

constexpr enum_names<quota_fallback, 2> quota_fallback_names{{"next_holder", "unavailable"}};

/** Connects a quota_client with other nodes and with what this node holds. Unset observers are
 * skipped. */
struct quota_client_hooks {
    send_ask_hook send_;
    /** Grants tokens as this node; nothing if this node may not act in \p role. */
    std::function<std::optional<quota_grant>(const quota_ask& ask, holder_role role, instant now)>
        grant_here_;
    std::function<void(std::uint64_t asked, std::uint64_t granted, std::uint64_t refused,
                       duration elapsed)>
        on_answer_;
    std::function<void(std::uint64_t tokens)> on_expired_;
    std::function<void(quota_fallback kind)> on_fallback_;
    std::function<void(const std::string& organisation, const std::string& holder)> on_unreachable_;
    std::function<void(const std::string& organisation, const std::string& holder)>
        on_holder_changed_;
};

/** Identifies a request that waits for an answer; 0: none. */
using quota_wait_id = std::uint64_t;

/** The tokens that one thread of a node holds, and the requests that wait for some. The callbacks
 * given to send_ must not be called after the client's destruction. */
class quota_client {
  public:
    quota_client(holder_reachability& reachability, quota_client_hooks hooks)
        : reachability_(reachability), hooks_(std::move(hooks))
    {
    }

    /** Decides on a request of \p organisation, which has \p limit. Calls \p reply once, at once
     * or when another node has answered; in the first case returns 0. */
    auto admit(const std::string& organisation, const quota_limit& limit,
               const std::shared_ptr<const quota_nodes>& nodes, instant now, quota_reply_hook reply)
        -> quota_wait_id;

    /** Withdraws a request of \p organisation that waits; its reply is not called. */
    void cancel(const std::string& organisation, quota_wait_id wait);

    /** Returns the number of organisations for which state is kept. */
    [[nodiscard]] auto size() const -> std::size_t { return organisations_.size(); }

  private:
    struct waiting_request {
        quota_wait_id id_;
        quota_reply_hook reply_;
    };

    struct organisation_state {
        std::string name_;
        quota_limit limit_;
        std::shared_ptr<const quota_nodes> nodes_;
        std::vector<std::string> holders_; ///< In rendezvous order.
        quota_leases leases_;
        std::deque<waiting_request> waiting_;
        bool is_asking_ = false;
        std::uint64_t ask_number_ = 0;
        std::size_t candidate_ = 0; ///< Position in holders_ of the node that is asked.
        std::uint64_t needed_ = 0;  ///< Of the current ask.
        instant began_{};           ///< When the first candidate was asked.
        instant asked_at_{};        ///< When the current candidate was asked.
        instant used_at_{};
    };

    auto state_of(const std::string& organisation, const quota_limit& limit,
                  const std::shared_ptr<const quota_nodes>& nodes, instant now)
        -> organisation_state&;
    void start_ask(organisation_state& state, instant now);
    /** Asks the current candidate, or the next ones if it is known to be unreachable. */
    void ask_candidates(organisation_state& state, instant now);
    /** Asks the unreachable node at \p address for an answer, if that is due. */
    void probe(const organisation_state& state, const std::string& address, instant now);
    void on_answer(const std::string& organisation, const std::string& address,
                   std::uint64_t ask_number, const std::optional<quota_grant>& grant, instant now);
    void on_grant(organisation_state& state, const std::string& address, const quota_grant& grant,
                  instant now);
    void refuse_waiting(organisation_state& state);
    void count_expired(organisation_state& state);
    void remove_idle(instant now);

    holder_reachability& reachability_;
    quota_client_hooks hooks_;
    std::unordered_map<std::string, organisation_state> organisations_;
    quota_wait_id last_wait_ = 0;
    instant next_removal_{};
};

} // namespace sycamorewinch
