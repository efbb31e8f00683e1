/** \file
 * Keeps the subscriber of a node or relay connected to one of its upstreams.
 */
#pragma once

#include <functional>
#include <map>
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
 * own availability zone when it learns of one. An upstream that is open but does not prove its
 * table current stays connected until another one has been reached: it may only be slow. For the
 * same reason a dial goes on while the next upstream is dialled beside it; the first one that is
 * ready is used. */
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
    [[nodiscard]] auto connection() const -> h2_connection&
    {
        return current_.client_->connection();
    }

    [[nodiscard]] auto is_connected() const -> bool
    {
        return current_.channel_ && current_.channel_->is_open();
    }

  private:
    /** A connection to an upstream, dialled or connected. */
    struct upstream {
        peer_address address_;
        std::shared_ptr<peer_client> client_;
        std::shared_ptr<message_channel> channel_; ///< Null until the connection is ready.
        instant connected_at_{};                   ///< With a channel only.
    };

    void dial();
    void on_dialled(std::uint64_t number);
    void on_dial_failed(std::uint64_t number, std::string_view reason);
    void on_message(std::string_view bytes);
    void on_upstream_lost(std::string_view reason);
    /** Dials another upstream while the current one, if any, stays connected. */
    void replace_upstream(std::string_view reason);
    void dial_after_backoff();
    [[nodiscard]] auto is_nearer_upstream_available(instant now) const -> bool;
    /** Returns whether the current upstream, if any, has to be replaced. */
    [[nodiscard]] auto needs_upstream(instant now) const -> bool;
    [[nodiscard]] auto is_dialling() const -> bool
    {
        return !dials_.empty() || next_dial_.is_active();
    }
    static void close(const upstream& closing);
    void tick();

    upstream_selector selector_;
    cluster_key key_;
    random_hook random_;
    subscriber subscriber_;
    upstream_link_hooks hooks_;
    upstream current_;                        ///< Has a channel, or is empty.
    std::map<std::uint64_t, upstream> dials_; ///< In progress, by number.
    std::uint64_t dial_number_ = 0;           ///< Of the latest dial.
    std::uint64_t current_number_ = 0;        ///< Of the dial that led to current_.
    deadline_timer next_dial_{[this] {
        dial();
    }};
    QTimer tick_timer_;
    std::optional<peer_address> previous_upstream_;
    unsigned failures_ = 0;
    bool is_stale_ = false; ///< The current upstream has not proved its table in time.
    counter& lost_;
    counter& stale_;
    counter& bad_messages_;
    counter& bad_records_;
    counter& proof_age_;
    counter& bytes_received_;
};

} // namespace sycamorewinch
