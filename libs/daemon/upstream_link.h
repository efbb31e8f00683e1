/** \file
 * Keeps the subscriber of a node or relay connected to one of its upstreams.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <QTimer>

#include "daemon/upstream_selector.h"
#include "distribution/subscriber.h"
#include "event_loop/deadline_timer.h"
#include "observability/metrics.h"
#include "transport/message_channel.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** Notifications to the owner of a link. */
struct upstream_link_hooks {
    std::function<void(const subscriber_output& output)> on_output_;
    /** A channel is open; \p has_changed_upstream is true if the previous channel was to another
     * upstream. */
    std::function<void(bool has_changed_upstream)> on_connected_;
};

/** Dials one upstream after another with jittered exponential backoff, and switches to one in its
 * own availability zone when it learns of one. */
class upstream_link {
  public:
    upstream_link(std::vector<peer_address> upstreams, cluster_key key, subscriber_options options,
                  metrics_registry& metrics, upstream_link_hooks hooks);

    /** Dials the first upstream. */
    void start();

    /** Replaces the configured upstreams. The current connection stays open; the next dial uses
     * the new upstreams. */
    void set_upstreams(std::vector<peer_address> upstreams)
    {
        selector_.set_configured(std::move(upstreams));
    }

    /** Returns the subscriber, which does no I/O; call process_output() after changing it. */
    [[nodiscard]] auto logic() -> subscriber& { return subscriber_; }

    /** Sends the subscriber's pending messages, passes on its output and changes the upstream if it
     * requests so. */
    void process_output();

    /** Returns the connection to the upstream, to open further channels; call from on_connected_.
     */
    [[nodiscard]] auto connection() const -> h2_connection& { return client_->connection(); }

    [[nodiscard]] auto is_connected() const -> bool { return channel_ && channel_->is_open(); }

  private:
    void dial();
    void open_channel();
    void on_message(std::string_view bytes);
    /** Handles a failed dial, a lost connection or a stale upstream: retries after the backoff. */
    void on_upstream_failed(std::string_view reason);
    void disconnect(std::string_view reason, duration retry_delay);
    void switch_to_nearer_upstream(instant now);
    void tick();

    upstream_selector selector_;
    peer_address current_upstream_;
    cluster_key key_;
    random_hook random_;
    subscriber subscriber_;
    upstream_link_hooks hooks_;
    std::shared_ptr<peer_client> client_;
    std::shared_ptr<message_channel> channel_;
    deadline_timer retry_timer_{[this] {
        dial();
    }};
    QTimer tick_timer_;
    instant dial_started_at_{};
    instant connected_at_{};
    std::optional<peer_address> previous_upstream_;
    unsigned failures_ = 0;
    counter& lost_;
    counter& stale_;
    counter& proof_age_;
    counter& bytes_received_;
};

} // namespace sycamorewinch
