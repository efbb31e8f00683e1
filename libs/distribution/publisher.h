/** \file
 * The sending side of distribution, in control processes and relays.
 *
 * Does no I/O: takes the messages of subscribers and returns encoded messages for them. Each
 * subscriber has at most one table update in flight, so one that is many versions behind gets a
 * single update to the newest version. An update is encoded once for all subscribers that hold the
 * same version.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "crash_record/crash_tracker.h"
#include "distribution/distribution_message.h"
#include "distribution/subscriber.h"
#include "membership/target_directory.h"
#include "membership/target_leases.h"
#include "rollout/rollout.h"
#include "rollout/version_report.h"

namespace sycamorewinch {

/** Identifies one subscriber's connection; never reused. */
using subscriber_id = std::uint64_t;

/** How many subscribers are sent a whole table at the same time; the others are queued. */
constexpr std::size_t max_whole_tables_in_flight = 32;

/** A whole table that is not acknowledged for this long no longer counts as in flight. */
constexpr duration whole_table_timeout = std::chrono::seconds(2);

/** The loads of a subscriber that has not reported for this long no longer count. Four reports in
 * succession are then missing. */
constexpr duration version_load_timeout = std::chrono::seconds(1);

/** A message for one subscriber. */
struct publisher_message {
    subscriber_id to_ = 0;
    std::shared_ptr<const std::string> bytes_;
};

/** The actions that the owner of a publisher must carry out. */
struct publisher_output {
    std::vector<publisher_message> messages_;   ///< Send in this order.
    bool proof_wanted_ = false;                 ///< Request a proof upstream, then call on_proof().
    std::vector<target_report> target_updates_; ///< Targets changed here or below, for upstream.
    std::vector<subscriber_id> to_disconnect_;  ///< Protocol violations: close these connections.
    std::vector<crash_record> crashes_;         ///< New crash records, for upstream.
    bool progress_changed_ = false;             ///< progress() returns a new value.
    /** For the leader: the samples received since the previous report, and the latest loads of all
     * subscribers, which replace those of the previous report. */
    version_report version_reports_;
};

/** Sends subscribers the newest table, proofs of currency, target records and crash records. */
class publisher {
  public:
    publisher();

    /** Sets a newer table and sends it to all subscribers. */
    void set_table(table_pointer newest);

    /** Sets the roll-outs and sends them to all subscribers, unless their sequence is not above
     * that of rollouts(). */
    void set_rollouts(rollout_set newest);

    /** Sets the control processes to subscribe to; sent to all current and future subscribers. */
    void set_publishers(std::vector<publisher_address> publishers);

    /** Merges a report from upstream or from another control process. If the sender holds the
     * leases of the targets, the leases kept for them here end. */
    void merge_targets(const target_report& report);

    /** Merges the answer, from upstream or from another control process, to the digests of
     * targets(); records that are newer here are reported back. If it \p replaces the directory,
     * all records without a lease kept here or below are removed first. */
    void merge_sync(const bucket_contents& contents, bool replaces);

    /** Merges crash records from upstream or from another control process. */
    void merge_crashes(const std::vector<crash_record>& crashes);

    /** Expires leases, tombstones and crash records; call it a few times a second.
     * \p has_upstream_contact: whether this process is connected to the rest of the system. */
    void tick(instant now, bool has_upstream_contact);

    /** Sets how long ago the newest table here was known to be the current one of the group; with
     * such knowledge it answers refresh requests itself. */
    void set_currency_age(std::optional<duration> age) { currency_age_ = age; }

    /** Handles a closed connection of a subscriber. */
    void on_subscriber_disconnected(subscriber_id from);

    /** Handles a message from a subscriber. */
    void on_message(subscriber_id from, const distribution_message& message);

    /** The upstream has proved, after proof_wanted_ was set, that \p version is the current table
     * and \p rollout_sequence the sequence of the current set of roll-outs. */
    void on_proof(std::uint64_t version, std::uint64_t rollout_sequence);

    /** The upstream could not prove the version; requests a new proof for the same subscribers. */
    void on_proof_failed();

    /** Returns and clears the pending output. */
    [[nodiscard]] auto take_output() -> publisher_output;

    /** Returns the progress of the nodes below, by availability zone. */
    [[nodiscard]] auto progress() const -> std::vector<zone_progress>;

    [[nodiscard]] auto newest() const -> const table_pointer& { return newest_; }
    [[nodiscard]] auto rollouts() const -> const rollout_set& { return rollouts_; }
    [[nodiscard]] auto targets() const -> const target_directory& { return targets_; }
    /** Returns the targets whose leases are kept here or below. */
    [[nodiscard]] auto leased_targets() const -> std::vector<target_record>;
    /** Returns the number of targets that are kept although their lease holder is disconnected. */
    [[nodiscard]] auto stale_targets() const -> std::size_t { return leases_.stale_count(); }
    [[nodiscard]] auto subscriber_count() const -> std::size_t { return subscribers_.size(); }
    /** Returns the name of a subscriber; empty before its first message. */
    [[nodiscard]] auto name_of_subscriber(subscriber_id id) const -> std::string
    {
        const auto found = subscribers_.find(id);
        return found == subscribers_.end() ? std::string() : found->second.name_;
    }

  private:
    struct subscription {
        std::string name_;
        std::string availability_zone_;
        bool is_relay_ = false;
        bool subscribed_ = false;
        table_version held_; ///< Assumes that the update in flight has arrived.
        bool update_in_flight_ = false;
        std::optional<instant> whole_table_sent_at_; ///< Set while a whole table is in flight.
        std::vector<zone_progress> progress_;
        std::vector<version_load> version_loads_; ///< Of the latest report.
        instant version_loads_at_{};
        bool is_in_pending_report_ = false; ///< Has reported since the last output of a report.
    };
    struct proof_request {
        subscriber_id from_ = 0;
        std::uint64_t nonce_ = 0;
    };

    void on_subscribe(subscriber_id from, const subscribe& message);
    void on_progress_report(subscriber_id from, const progress_report& report);
    void on_target_report(subscriber_id from, const target_report& report);
    void on_target_summary(subscriber_id from, const target_summary& summary);
    void on_crash_report(subscriber_id from, const crash_report& report);
    void on_version_report(subscriber_id from, const version_report& report);
    void output_version_reports();
    auto merge_and_forward_crashes(const std::vector<crash_record>& crashes,
                                   std::optional<subscriber_id> except)
        -> std::vector<crash_record>;
    void broadcast(const std::vector<target_record>& updates, std::optional<subscriber_id> except);
    void send(subscriber_id to, const distribution_message& message);
    void send_update(subscriber_id to, subscription& subscription);
    [[nodiscard]] auto needs_whole_table(const table_version& held) const -> bool;
    void send_queued_whole_tables();
    void time_out_whole_tables();
    [[nodiscard]] auto encoded_update(const table_version& held)
        -> std::shared_ptr<const std::string>;
    void start_proof_request();

    struct version_change {
        table_version from_;
        table_change change_;
    };

    table_pointer newest_;
    rollout_set rollouts_;
    version_report pending_samples_; ///< Received since the last output of a report; no loads.
    bool has_pending_report_ = false;
    publisher_list publishers_;
    std::deque<version_change> recent_changes_; ///< Consecutive, oldest first.
    std::map<table_version, std::shared_ptr<const std::string>> encoded_updates_;
    std::map<subscriber_id, subscription> subscribers_;
    target_directory targets_;
    target_leases leases_;
    crash_tracker crashes_;
    std::size_t whole_tables_in_flight_ = 0;
    std::deque<subscriber_id> whole_table_queue_;
    instant now_{};
    std::vector<proof_request> proof_requests_in_flight_; ///< Answered by the proof in flight.
    std::vector<proof_request> queued_proof_requests_;    ///< Answered by the next proof.
    bool proof_in_flight_ = false;
    std::optional<duration> currency_age_; ///< As in set_currency_age().
    publisher_output output_;
};

/** Merges the zones of \p added into \p total. */
void merge_progress(std::vector<zone_progress>& total, const std::vector<zone_progress>& added);

} // namespace sycamorewinch
