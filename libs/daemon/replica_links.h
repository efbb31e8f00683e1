/** \file
 * The channels between the control replicas. Each replica dials every other one; it sends on the
 * channels it dialled and receives on the channels it accepted.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QObject>

#include "consensus/raft_message.h"
#include "distribution/distribution_message.h"
#include "settings/daemon_settings.h"
#include "transport/message_channel.h"

namespace sycamorewinch {

/** Called for messages from other replicas and for changes of their connections. */
struct replica_link_hooks {
    std::function<void(const raft_message& message)> on_raft_;
    std::function<void(const std::string& from, const distribution_message& message)>
        on_distribution_;
    std::function<void(const std::string& to)> on_connected_;
    /** The connection to a replica ended or could not be established. */
    std::function<void(const std::string& to)> on_disconnected_;
    /** The replica named \p candidate requests to join a group with dynamic membership. */
    std::function<void(const std::string& candidate)> on_join_;
    /** The process of the replica named \p member is about to end. */
    std::function<void(const std::string& member)> on_leave_;
    /** The process of this replica may end. */
    std::function<void()> on_leave_granted_;
    /** Operations on the record of unrepeatable requests (run_record_service), or their results. */
    std::function<void(const std::string& from, std::string_view bytes)> on_run_message_;
};

/** Request path of the channel between replicas. */
constexpr std::string_view replica_path = "/channel/replica";

/** The connections of one replica to the others. */
class replica_links {
  public:
    /** A non-empty \p peers fixes the group. Otherwise connect_to() sets its members, and links are
     * keyed by the addresses contained in the replica names. */
    replica_links(const std::vector<control_peer>& peers, cluster_key key,
                  replica_link_hooks hooks);

    /** Dials every other replica; \p self is the name of this one. */
    void start(const std::string& self);

    /** Maintains links to exactly the replicas in \p names. For a group with dynamic membership. */
    void connect_to(const std::vector<std::string>& names);

    /** Asks the replica named \p to to admit \p candidate to the group. */
    void send_join(const std::string& to, const std::string& candidate);

    /** Tells the replica named \p to that the process of \p member is about to end. */
    void send_leave(const std::string& to, const std::string& member);

    /** Tells the process of the replica named \p to that it may end. */
    void send_leave_granted(const std::string& to);

    /** Accepts a channel dialled by another replica; returns the hooks of its stream. */
    auto accept(const std::shared_ptr<h2_connection>& connection, stream_id stream) -> stream_hooks;

    /** Sends to one replica. Dropped if it is not connected or its send queue is full. */
    void send(const raft_message& message);
    void send(const std::string& to, const distribution_message& message);

    void send_run_message(const std::string& to, std::string_view bytes);

    /** Returns the names of all other replicas. */
    [[nodiscard]] auto other_replicas() const -> std::vector<std::string>;

  private:
    struct link {
        peer_address address_;
        std::shared_ptr<peer_client> client_;
        std::shared_ptr<message_channel> channel_;
        instant dial_started_at_{};
    };

    /** Returns the key of a replica in links_. */
    [[nodiscard]] auto link_key(const std::string& name) const -> std::string;
    [[nodiscard]] auto find_or_dial(const std::string& key) -> bool;
    void dial(const std::string& key);
    void open_channel(const std::string& key);
    void on_ended(const std::string& key, const peer_client& client);
    void redial_if_stalled(const std::string& key);
    void on_message(std::string_view bytes);
    void send_bytes(const std::string& to, std::string_view bytes);

    std::string self_;
    bool has_fixed_membership_;
    cluster_key key_;
    replica_link_hooks hooks_;
    std::map<std::string, link> links_; ///< By name, or by address with dynamic membership.
    std::map<std::uint64_t, std::shared_ptr<message_channel>> accepted_channels_;
    std::uint64_t next_accepted_id_ = 1;
    QObject context_;
};

} // namespace sycamorewinch
