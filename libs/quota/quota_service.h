/** \file
 * Answers the nodes that ask this node for tokens: as the holder, by passing the question on to the
 * holder, or in its place.
 */
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "quota/holder_choice.h"
#include "quota/holder_reachability.h"
#include "quota/quota_client.h"
#include "quota/quota_holder.h"

namespace sycamorewinch {

/** Connects a quota_service with other nodes and with the buckets that this node's threads share.
 */
struct quota_service_hooks {
    send_ask_hook send_;
    std::function<quota_grant(const quota_ask& ask, holder_role role, instant now)> grant_;
    std::function<void(const std::string& organisation)> end_substitution_;
    /** This node reaches no other one: drops all buckets, which begin empty afterwards. */
    std::function<void()> on_cut_off_;
};

/** The answering side of quotas on one thread of a node. The callbacks given to send_ must not be
 * called after the service's destruction. */
class quota_service {
  public:
    quota_service(holder_reachability& reachability, quota_service_hooks hooks)
        : reachability_(reachability), hooks_(std::move(hooks))
    {
    }

    /** Answers \p ask by another node: calls \p reply once, always with a grant. */
    void answer(const quota_ask& ask, const quota_nodes& nodes, instant now, grant_hook reply);

    /** Answers \p ask by this node itself, which is the holder or, as \p role says, follows it in
     * rendezvous order. Returns nothing if this node may be cut off from the others, which then
     * have another holder: as the holder, if it has not heard from another node and two of them do
     * not answer; as a substitute, if no other node has asked it. */
    [[nodiscard]] auto answer_own(const quota_ask& ask, holder_role role, const quota_nodes& nodes,
                                  instant now) -> std::optional<quota_grant>;

  private:
    /** Of an organisation whose holder this node does not reach. */
    struct substitution {
        instant peer_asked_at_{}; ///< When another node asked last.
        instant probed_at_{};     ///< When the holder was asked last whether it answers again.
    };

    /** Returns whether this node is not known to be cut off; asks two others if in doubt. */
    auto is_in_contact(const quota_ask& ask, const quota_nodes& nodes, instant now) -> bool;
    void on_contact_answer(const std::string& address, bool is_answered, instant now);
    void probe(const quota_ask& ask, const std::string& holder, instant now);
    void on_holder_answered(const std::string& organisation, const std::string& holder,
                            instant now);

    holder_reachability& reachability_;
    quota_service_hooks hooks_;
    std::unordered_map<std::string, substitution> substitutions_;
    std::size_t contacts_asked_ = 0; ///< Nodes asked for an answer that have not answered yet.
    instant cut_off_since_{};        ///< Cut off if nothing was heard after this.
};

} // namespace sycamorewinch
