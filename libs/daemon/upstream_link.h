/** \file
 * Keeps a subscriber connected to one of its upstreams, in nodes and relays.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <QTimer>

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

/** Dials upstreams in turn, with jittered exponential backoff. */
class upstream_link {
  public:
    upstream_link(std::vector<peer_address> upstreams, cluster_key key, subscriber_options options,
                  metrics_registry& metrics, upstream_hooks hooks);

    /** Starts dialling. */
    void start();

    /** Dials one of \p upstreams when the current connection is lost; until then it stays. */
    void set_upstreams(std::vector<peer_address> upstreams);

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
    void tick();

    std::vector<peer_address> upstreams_;
    cluster_key key_;
    random_hook random_;
    subscriber subscriber_;
    upstream_hooks hooks_;
    std::shared_ptr<peer_client> client_;
    std::shared_ptr<message_channel> channel_;
    QTimer retry_;
    QTimer ticker_;
    instant dialled_at_{};
    std::size_t current_ = 0;
    std::optional<std::size_t> last_connected_;
    unsigned failures_ = 0;
    counter& lost_;
    counter& stale_;
    counter& proof_age_;
    counter& bytes_received_;
};

} // namespace sycamorewinch
