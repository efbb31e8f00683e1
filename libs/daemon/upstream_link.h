/** \file
 * Keeps a subscriber connected to one of its upstreams, in nodes and relays.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <QTimer>

#include "daemon/upstream_choice.h"
#include "distribution/subscriber.h"
#include "observability/metrics.h"
#include "transport/message_channel.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** What the owner of a link hears. */
struct upstream_hooks {
    std::function<void(const subscriber_output& output)> on_output_;
    /** A channel is up; \p is_moved says that the last one led to another upstream. */
    std::function<void(bool is_moved)> on_connected_;
};

/** Dials one upstream after another, with jittered exponential backoff, and moves to one in the own
 * zone when it hears of one. */
class upstream_link {
  public:
    upstream_link(std::vector<peer_address> upstreams, cluster_key key, subscriber_options options,
                  metrics_registry& metrics, upstream_hooks hooks);

    /** Starts dialling. */
    void start();

    /** Dials one of \p upstreams when the current connection is lost; until then it stays. */
    void set_upstreams(std::vector<peer_address> upstreams)
    {
        choice_.set_configured(std::move(upstreams));
    }

    /** Returns the subscriber; call run() after changing it. */
    [[nodiscard]] auto logic() -> subscriber& { return subscriber_; }

    /** Carries out what the subscriber wants. */
    void run();

    /** Returns the connection to the upstream, for further channels; ask in on_connected_. */
    [[nodiscard]] auto connection() const -> h2_connection& { return client_->connection(); }

    [[nodiscard]] auto is_connected() const -> bool { return channel_ && channel_->is_open(); }

  private:
    void dial();
    void open_channel();
    void on_message(std::string_view bytes);
    void on_lost(std::string_view reason);
    void leave(std::string_view reason, duration wait);
    void move_nearer(instant now);
    void tick();

    upstream_choice choice_;
    peer_address current_;
    cluster_key key_;
    random_hook random_;
    subscriber subscriber_;
    upstream_hooks hooks_;
    std::shared_ptr<peer_client> client_;
    std::shared_ptr<message_channel> channel_;
    QTimer retry_;
    QTimer ticker_;
    instant dialled_at_{};
    instant connected_at_{};
    std::optional<peer_address> last_connected_;
    unsigned failures_ = 0;
    counter& lost_;
    counter& stale_;
    counter& proof_age_;
    counter& bytes_received_;
};

} // namespace sycamorewinch
