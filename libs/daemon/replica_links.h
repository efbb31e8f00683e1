/** \file
 * The channels between the control replicas. Each replica dials every other and sends on the
 * channels it dialled; it receives on the channels it accepted.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QTimer>

#include "consensus/raft_message.h"
#include "distribution/distribution_message.h"
#include "settings/daemon_settings.h"
#include "transport/message_channel.h"

namespace sycamorewinch {

/** What arrives from other replicas. */
struct replica_link_hooks {
    std::function<void(const raft_message& message)> on_raft_;
    std::function<void(const std::string& from, const distribution_message& message)>
        on_distribution_;
    std::function<void(const std::string& to)> on_connected_;
    /** The connection to a replica ended, or could not be made. */
    std::function<void(const std::string& to)> on_disconnected_;
    /** The replica called \p candidate asks to join a changing group. */
    std::function<void(const std::string& candidate)> on_join_;
    /** Operations on the record of unrepeatable requests, or their results. */
    std::function<void(const std::string& from, std::string_view bytes)> on_runs_;
};

/** The path of the channel between replicas. */
constexpr std::string_view replica_path = "/channel/replica";

/** Connects one replica with the others. */
class replica_links {
  public:
    /** With \p peers the group is fixed. Without, it is what connect_to() says; replicas are then
     * known here by the addresses in their names. */
    replica_links(const std::vector<control_peer>& peers, cluster_key key,
                  replica_link_hooks hooks);

    /** Dials every other replica; \p self is this one's name. */
    void start(const std::string& self);

    /** Keeps links to the replicas called \p names, and to no others. For a changing group. */
    void connect_to(const std::vector<std::string>& names);

    /** Asks the replica called \p to to let \p candidate join. */
    void send_join(const std::string& to, const std::string& candidate);

    /** Takes a channel that another replica dialled. */
    auto accept(const std::shared_ptr<h2_connection>& connection, stream_id stream) -> stream_hooks;

    /** Sends to one replica; dropped when it is not connected. */
    void send(const raft_message& message);
    void send(const std::string& to, const distribution_message& message);

    void send_runs(const std::string& to, std::string_view bytes);

    /** Returns the names of all other replicas. */
    [[nodiscard]] auto others() const -> std::vector<std::string>;

  private:
    struct link {
        peer_address address_;
        std::shared_ptr<peer_client> client_;
        std::shared_ptr<message_channel> channel_;
        instant dialled_at_{};
    };

    [[nodiscard]] auto key_of(const std::string& name) const -> std::string;
    [[nodiscard]] auto find_or_dial(const std::string& key) -> bool;
    void dial(const std::string& name);
    void open_channel(const std::string& name);
    void on_ended(const std::string& name, const peer_client& client);
    void redial_if_hanging(const std::string& name);
    void on_message(std::string_view bytes);
    void send_bytes(const std::string& to, std::string_view bytes);

    std::string self_;
    bool is_fixed_;
    cluster_key key_;
    replica_link_hooks hooks_;
    std::map<std::string, link> links_; ///< By name, or by address in a changing group.
    std::map<std::uint64_t, std::shared_ptr<message_channel>> accepted_;
    std::uint64_t next_accepted_ = 1;
    QObject context_;
};

} // namespace sycamorewinch
