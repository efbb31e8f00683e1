/** \file
 * Answers the nodes that ask this node for tokens: as the holder, by passing the question on to the
 * first node in rendezvous order that this node reaches, or in place of those before it.
 */
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "quota/contact_monitor.h"
#include "quota/holder_choice.h"
#include "quota/holder_reachability.h"
#include "quota/quota_client.h"
#include "quota/quota_holder.h"

namespace sycamorewinch {

/** Connects a quota_service with other nodes and with the buckets that this node's threads share.
 */
struct quota_service_hooks {
    send_ask_hook send_;
    std::function<instant()> proved_at_; ///< See contact_hooks.
    duration max_proof_age_{};           ///< See contact_hooks.
    std::function<quota_grant(const quota_ask& ask, holder_role role, instant now)> grant_;
    std::function<void(const std::string& organisation)> end_substitution_;
    /** This node is cut off from most others: drops all buckets, which begin empty afterwards. */
    std::function<void()> on_cut_off_;
};

/** The answering side of quotas on one thread of a node. The callbacks given to send_ must not be
 * called after the service's destruction. */
class quota_service {
  public:
    quota_service(holder_reachability& reachability, quota_service_hooks hooks)
        : reachability_(reachability), hooks_(std::move(hooks)),
          contact_(reachability,
                   {hooks_.send_, hooks_.proved_at_, hooks_.max_proof_age_, hooks_.on_cut_off_})
    {
    }

    /** Answers \p ask by another node: calls \p reply once; with nothing if this node may be cut
     * off from most others, which then have another holder. */
    void answer(const quota_ask& ask, const quota_nodes& nodes, instant now, grant_hook reply);

    /** Answers \p ask by this node itself, which is the holder or, as \p role says, follows it in
     * rendezvous order. Returns nothing if this node may be cut off from most others, and as a
     * substitute also if no other node has asked it. */
    [[nodiscard]] auto answer_own(const quota_ask& ask, holder_role role, const quota_nodes& nodes,
                                  instant now) -> std::optional<quota_grant>;

  private:
    /** Of an organisation that this node grants tokens of in place of others. */
    struct substitution {
        instant peer_asked_at_{}; ///< When another node asked last.
        /** When each of the nodes before this one was asked last whether it answers again. */
        std::unordered_map<std::string, instant> probed_at_;
    };

    /** Returns the nodes that grant tokens of \p organisation rather than this one. */
    [[nodiscard]] static auto nodes_before_own(const std::string& organisation,
                                               const quota_nodes& nodes)
        -> std::vector<std::string>;
    void forward(const quota_ask& ask, const std::string& holder, const quota_nodes& nodes,
                 grant_hook reply);
    /** Answers \p ask as a substitute once the contact with most other nodes is confirmed. */
    void answer_as_substitute(const quota_ask& ask, const quota_nodes& nodes, instant now,
                              grant_hook reply);
    /** Asks \p holder whether it answers again, if that is due. */
    void probe(const quota_ask& ask, const std::string& holder, instant now);
    void on_holder_answered(const std::string& organisation, const std::string& holder);

    holder_reachability& reachability_;
    quota_service_hooks hooks_;
    std::unordered_map<std::string, substitution> substitutions_;
    contact_monitor contact_;
};

} // namespace sycamorewinch
