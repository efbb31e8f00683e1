/** \file
 * Connects a publisher to its subscribers over the network, in control processes and relays.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "distribution/publisher.h"
#include "observability/metrics.h"
#include "transport/message_channel.h"

namespace sycamorewinch {

/** What a publisher server requests from and reports to its role. */
struct publisher_server_hooks {
    std::function<void()> on_proof_requested_;
    std::function<void(const target_report& updates)> on_target_updates_;
    std::function<void()> on_progress_;
    std::function<void(const std::vector<crash_record>& updates)> on_crash_updates_;
    /** Control: returns whether this process is the leader or receives its messages; if not, new
     * subscribers are rejected. Empty in a relay, which relies on its upstream. */
    std::function<bool()> has_quorum_contact_;
    /** Control: as in publisher::set_currency_age(). Empty in a relay. */
    std::function<std::optional<duration>()> currency_age_;
    /** Passes measurements of software versions on to the leader; may be empty. */
    std::function<void(const version_report& report)> on_version_reports_;
};

/** Request path of the channel between a subscriber and its publisher. */
constexpr std::string_view distribution_path = "/channel/distribution";

/** Passes messages between a publisher and the channels of its subscribers. */
class publisher_server {
  public:
    publisher_server(metrics_registry& metrics, publisher_server_hooks hooks);

    /** Accepts a subscriber's channel and returns the hooks of its stream. */
    auto accept(const std::shared_ptr<h2_connection>& connection, stream_id stream) -> stream_hooks;

    /** Returns the publisher, which does no I/O; call process_output() after changing it. */
    [[nodiscard]] auto logic() -> publisher& { return publisher_; }

    /** Sends the publisher's pending messages, calls the hooks and closes connections as it
     * requests. */
    void process_output();

  private:
    void on_message(subscriber_id from, std::string_view bytes);
    void disconnect(subscriber_id id);

    publisher publisher_;
    publisher_server_hooks hooks_;
    std::map<subscriber_id, std::shared_ptr<message_channel>> channels_;
    subscriber_id next_id_ = 1;
    counter& bad_messages_;
    counter& bad_records_;
    counter& bytes_sent_;
    counter& subscribers_;
    counter& stale_targets_;
};

} // namespace sycamorewinch
