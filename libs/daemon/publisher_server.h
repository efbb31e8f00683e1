/** \file
 * Serves a publisher's subscribers over the network, in control processes and relays.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "distribution/publisher.h"
#include "observability/metrics.h"
#include "transport/message_channel.h"

namespace sycamorewinch {

/** What a publisher needs of its role. */
struct publisher_server_hooks {
    std::function<void()> on_proof_wanted_;
    std::function<void(const target_report& news)> on_target_news_;
    std::function<void()> on_progress_;
    std::function<void(const std::vector<crash_record>& news)> on_crash_news_;
    /** Control: returns whether this process leads or hears from the leader. If not, newcomers are
     * turned away. Empty: this is a relay, which asks its upstream. */
    std::function<bool()> is_in_touch_;
};

/** The path of the channel between a subscriber and its publisher. */
constexpr std::string_view distribution_path = "/channel/distribution";

/** Joins a publisher to the channels of its subscribers. */
class publisher_server {
  public:
    publisher_server(metrics_registry& metrics, publisher_server_hooks hooks);

    /** Takes a subscriber's channel request; returns the hooks of its stream. */
    auto accept(const std::shared_ptr<h2_connection>& connection, stream_id stream) -> stream_hooks;

    /** Returns the publisher; call run() after changing it. */
    [[nodiscard]] auto logic() -> publisher& { return publisher_; }

    /** Carries out what the publisher wants. */
    void run();

  private:
    void on_message(subscriber_id from, std::string_view bytes);
    void drop(subscriber_id id);

    publisher publisher_;
    publisher_server_hooks hooks_;
    std::map<subscriber_id, std::shared_ptr<message_channel>> channels_;
    subscriber_id next_id_ = 1;
    counter& bad_messages_;
    counter& bytes_sent_;
    counter& subscribers_;
    counter& stale_targets_;
};

} // namespace sycamorewinch
