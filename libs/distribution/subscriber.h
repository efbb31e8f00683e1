/** \file
 * The receiving side of distribution, in nodes and relays: follows one upstream at a time.
 *
 * Does no I/O: takes messages and returns messages to send and tables to enforce. A subscriber
 * enforces nothing until a quorum has proved, after this process started, what the current version
 * is, and then only that version or a later one. A restart therefore never goes back to an older
 * table.
 *
 * It repeats the request every proof_period_; once it enforces a table, these requests only check
 * that the upstream is connected to the leader. If the held table has not been proved current for
 * proof_timeout_, the upstream is silent, partitioned or behind, and the subscriber changes to
 * another one. The enforced table stays in force meanwhile.
 *
 * The set of roll-outs is distributed beside the table. Of the sets received, the one with the
 * highest sequence is kept. After a start nothing is enforced before both the table and the set are
 * known to be current; from then on a newer set applies at once. While a roll-out is running, the
 * set is proved current more often, since nodes rely on it only for a short time.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/distribution_message.h"

namespace sycamorewinch {

/** An immutable table, shared between threads. */
using table_pointer = std::shared_ptr<const table>;

/** An immutable set of roll-outs, shared between threads. */
using rollouts_pointer = std::shared_ptr<const rollout_set>;

/** The longest time between two requests for a proof while a roll-out is running. Several requests
 * fit into the 2 s for which a node relies on a set (rollout_set_timeout in
 * policy/version_choice.h). */
constexpr duration rollout_proof_period = std::chrono::milliseconds(500);

/** The identity and the timing of a subscriber. */
struct subscriber_options {
    std::string name_;
    std::string availability_zone_;
    bool is_relay_ = false;
    random_hook random_;
    duration proof_period_ = std::chrono::seconds(2);
    duration proof_timeout_ = std::chrono::seconds(8);
};

/** The actions that the owner of a subscriber must carry out. */
struct subscriber_output {
    std::vector<distribution_message> messages_; ///< Send upstream in this order.
    table_pointer held_;                         ///< Set when a newer table was received.
    table_pointer enforce_;                      ///< Set when a newer table must be enforced.
    rollouts_pointer held_rollouts_;             ///< Set when a newer set was received.
    rollouts_pointer enforce_rollouts_;          ///< Set when a newer set must be enforced.
    std::vector<target_record> targets_;         ///< Changed targets from upstream.
    std::vector<crash_record> crashes_;          ///< New crash records from upstream.
    std::optional<bucket_contents> sync_;        ///< The upstream's answer to report_summary().
    bool sync_replaces_ = false;                 ///< Remove records learned from others first.
    std::optional<currency_proof> proof_;        ///< Set when these versions were proved current.
    std::optional<publisher_list> publishers_;   ///< The control processes to subscribe to.
    bool change_upstream_ = false;               ///< Connect to another upstream.
};

/** The protocol state of a subscription to an upstream publisher. */
class subscriber {
  public:
    explicit subscriber(subscriber_options options);

    /** Handles a new connection to an upstream: subscribes and requests a proof. */
    void on_connected(instant now);

    /** Handles a closed connection; sends no requests until the next connection. */
    void on_disconnected();

    /** Repeats proof requests and checks for time-outs; call it a few times a second. */
    void tick(instant now);

    /** Handles a message from the upstream. An error means that the upstream violated the protocol
     * and the connection must be closed. */
    [[nodiscard]] auto on_message(const distribution_message& message) -> result<void>;

    /** Requests a new proof of currency. */
    void request_proof();

    /** Queues changed targets for the upstream. */
    void report_targets(target_report report);

    /** Queues crash records for the upstream. */
    void report_crashes(std::vector<crash_record> crashes);

    /** Queues the digests of the known targets. After a disconnection of at least half of
     * tombstone_retention the upstream may have removed the tombstones of targets that left
     * meanwhile; an empty summary then requests all records. */
    void report_summary(target_digests digests);

    /** Queues what was measured of the software versions of running roll-outs for the upstream. */
    void report_versions(version_report report);

    /** Queues a progress report for the upstream. */
    void report_progress(std::vector<zone_progress> zones);

    /** Returns and clears the pending output. */
    [[nodiscard]] auto take_output() -> subscriber_output;

    [[nodiscard]] auto held() const -> const table_pointer& { return held_; }
    /** Returns the set of roll-outs with the highest sequence received. */
    [[nodiscard]] auto held_rollouts() const -> const rollouts_pointer& { return held_rollouts_; }
    /** Returns the set in force; its sequence is 0 before the first proof. */
    [[nodiscard]] auto enforced_rollouts() const -> const rollouts_pointer&
    {
        return enforced_rollouts_;
    }
    /** Returns the latest time at which the held table and set were known to be current, if any. */
    [[nodiscard]] auto proved_current_at() const -> const std::optional<instant>&
    {
        return proved_current_at_;
    }
    /** Returns the table in force, or nullptr before the first proof. */
    [[nodiscard]] auto enforced() const -> const table_pointer& { return enforced_; }

  private:
    /** The table and the set of roll-outs that were current at a time. */
    struct dated_proof {
        std::uint64_t version_ = 0;
        std::uint64_t rollout_sequence_ = 0;
        instant valid_at_{};
    };

    [[nodiscard]] auto on_table_update(const table_update& update) -> result<void>;
    void on_rollout_update(const rollout_update& update);
    void on_currency_proof(const currency_proof& proof);
    void enforce_if_proved();
    [[nodiscard]] auto proof_interval() const -> duration;
    void record_proofs_of_held_table();

    subscriber_options options_;
    table_pointer held_;
    table_pointer enforced_;
    rollouts_pointer held_rollouts_;
    rollouts_pointer enforced_rollouts_;
    bool has_running_rollout_ = false; ///< In held_rollouts_.
    std::optional<std::uint64_t> proved_version_;
    std::uint64_t proved_rollout_sequence_ = 0;
    /** Proofs of tables or sets that have not arrived yet, oldest first. */
    std::deque<dated_proof> proofs_ahead_;
    std::uint64_t nonce_ = 0;
    bool is_connected_ = false;
    bool needs_full_sync_ = false;
    std::optional<instant> disconnected_at_;
    bool is_proof_pending_ = false; ///< The latest request is unanswered.
    instant now_{};
    instant proof_requested_at_{};
    instant proof_timeout_started_at_{}; ///< When last connected or proved current.
    std::optional<instant> proved_current_at_;
    subscriber_output output_;
};

} // namespace sycamorewinch
