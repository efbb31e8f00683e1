/** \file
 * The receiving side of distribution, in nodes and relays: follows one upstream at a time.
 *
 * Pure: messages go in; messages to send and tables to enforce come out. A subscriber enforces
 * nothing until a quorum has proved, after this process started, what the current version is, and
 * then only that version or a later one. So no restart goes back to an older table.
 *
 * It asks again every proof_period_, then only whether the upstream is in touch. An upstream that
 * for proof_timeout_ has not shown that what is held is current is left for another one: it is
 * silent, cut off, or behind. What is in force stays in force meanwhile.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/distribution_message.h"

namespace sycamorewinch {

/** A whole table, shared between threads and never changed. */
using table_pointer = std::shared_ptr<const table>;

/** Who a subscriber says it is. */
struct subscriber_options {
    std::string name_;
    std::string availability_zone_;
    bool is_relay_ = false;
    random_hook random_;
    duration proof_period_ = std::chrono::seconds(2);
    duration proof_timeout_ = std::chrono::seconds(8);
};

/** What the owner of a subscriber must do next. */
struct subscriber_output {
    std::vector<distribution_message> messages_; ///< Send upstream, in order.
    table_pointer held_;                         ///< Set when a newer table is held.
    table_pointer enforce_;                      ///< Set when a newer table is to be enforced.
    std::vector<target_record> targets_;         ///< News of targets from upstream.
    std::vector<crash_record> crashes_;          ///< News of requests that ended targets.
    std::optional<bucket_contents> sync_;        ///< The upstream's answer to report_summary().
    bool sync_replaces_ = false;                 ///< Forget first what was known from elsewhere.
    std::optional<std::uint64_t> proof_;         ///< Set when a version number was proved current.
    std::optional<publisher_list> publishers_;   ///< Where to subscribe, as the upstream knows.
    bool change_upstream_ = false;               ///< Drop the connection and dial another upstream.
};

/** Follows an upstream publisher. */
class subscriber {
  public:
    explicit subscriber(subscriber_options options);

    /** A connection to an upstream is up: introduces itself and asks for proof. */
    void on_connected(instant now);

    /** The connection is gone; nothing is asked for until the next one. */
    void on_disconnected();

    /** Lets time pass; call it a few times a second. */
    void tick(instant now);

    /** Takes a message from the upstream. An error means the upstream broke the protocol and the
     * connection must be dropped. */
    [[nodiscard]] auto on_message(const distribution_message& message) -> result<void>;

    /** Asks for a fresh proof of currency. */
    void request_proof();

    /** Queues news of targets for the upstream. */
    void report_targets(target_report report);

    /** Queues news, for the upstream, of requests that ended targets. */
    void report_crashes(std::vector<crash_record> crashes);

    /** Queues what is known of targets, in short. After so long without a connection that targets
     * which have gone may be forgotten above, everything is asked for instead. */
    void report_summary(target_digests digests);

    /** Queues progress for the upstream. */
    void report_progress(std::vector<zone_progress> zones);

    /** Returns and clears what must be done. */
    [[nodiscard]] auto take_output() -> subscriber_output;

    [[nodiscard]] auto held() const -> const table_pointer& { return held_; }
    /** Returns the last moment at which what is held was known to be current, if ever. */
    [[nodiscard]] auto proved_current_at() const -> const std::optional<instant>&
    {
        return current_at_;
    }
    /** Returns the table in force, or nullptr before the first proof. */
    [[nodiscard]] auto enforced() const -> const table_pointer& { return enforced_; }

  private:
    [[nodiscard]] auto on_table_update(const table_update& update) -> result<void>;
    void on_currency_proof(const currency_proof& proof);
    void enforce_if_proved();
    void note_if_current();

    subscriber_options options_;
    table_pointer held_;
    table_pointer enforced_;
    std::optional<std::uint64_t> proved_version_;
    std::uint64_t nonce_ = 0;
    bool connected_ = false;
    bool was_long_away_ = false;
    std::optional<instant> left_at_;
    bool asking_ = false; ///< The latest request has no answer yet.
    instant now_{};
    instant asked_at_{};
    instant good_at_{}; ///< When the upstream last showed itself current, or was connected.
    std::optional<instant> current_at_;
    subscriber_output output_;
};

} // namespace sycamorewinch
