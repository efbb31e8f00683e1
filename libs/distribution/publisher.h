/** \file
 * The sending side of distribution, in control processes and relays.
 *
 * Pure: what subscribers say goes in; encoded messages for them come out. Each subscriber has at
 * most one table update on its way: one that is many versions behind gets a single step to the
 * newest. A step is encoded once for all subscribers that hold the same version.
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

namespace sycamorewinch {

/** Names one subscriber's connection. Never reused. */
using subscriber_id = std::uint64_t;

/** How many subscribers get a whole table at once; the others wait their turn. */
constexpr std::size_t max_whole_tables_on_their_way = 32;

/** A subscriber that has not answered a whole table for so long gives up its place. */
constexpr duration whole_table_timeout = std::chrono::seconds(2);

/** A message for one subscriber. */
struct publisher_message {
    subscriber_id to_ = 0;
    std::shared_ptr<const std::string> bytes_;
};

/** What the owner of a publisher must do next. */
struct publisher_output {
    std::vector<publisher_message> messages_; ///< Send, in order.
    bool proof_wanted_ = false;               ///< Ask upstream for a proof, then call on_proof().
    std::vector<target_report>
        target_updates_; ///< News of targets from here and below, for upstream.
    std::vector<subscriber_id> to_disconnect_; ///< Subscribers that broke the protocol.
    std::vector<crash_record> crashes_; ///< News of requests that ended targets, for upstream.
    bool progress_changed_ = false;     ///< progress() has something new.
};

/** Serves subscribers with the newest table, proofs and targets. */
class publisher {
  public:
    publisher();

    /** Puts a newer table in front of all subscribers. */
    void set_table(table_pointer newest);

    /** Tells all subscribers, and those that come later, where they may subscribe. */
    void set_publishers(std::vector<publisher_address> publishers);

    /** Takes news of targets from upstream or from a peer. A peer's report of targets that it holds
     * ends the leases kept for them here. */
    void merge_targets(const target_report& report);

    /** Takes an upstream's or a peer's answer to the digests of targets(); what is later here goes
     * out as news. When it \p replaces, all that is known from elsewhere is forgotten first. */
    void merge_sync(const bucket_contents& contents, bool replaces);

    /** Takes news, from upstream or from a peer, of requests that ended targets. */
    void merge_crashes(const std::vector<crash_record>& crashes);

    /** Lets time pass for the leases of targets; call it a few times a second. \p is_joined says
     * whether this process is in touch with the rest of the system. */
    void tick(instant now, bool is_joined);

    /** Says whether this process hears from the leader now; it then answers refreshes itself. */
    void set_quorum_contact(bool in_contact) { has_quorum_contact_ = in_contact; }

    /** A subscriber's connection is gone. */
    void on_subscriber_disconnected(subscriber_id from);

    /** Takes a message from a subscriber. */
    void on_message(subscriber_id from, const distribution_message& message);

    /** The upstream proved, after proof_wanted_ was seen, that \p version is current. */
    void on_proof(std::uint64_t version);

    /** The upstream could not prove it; the waiting subscribers are asked for again. */
    void on_proof_failed();

    /** Returns and clears what must be done. */
    [[nodiscard]] auto take_output() -> publisher_output;

    /** Returns how far the nodes below have come, by zone. */
    [[nodiscard]] auto progress() const -> std::vector<zone_progress>;

    [[nodiscard]] auto newest() const -> const table_pointer& { return newest_; }
    [[nodiscard]] auto targets() const -> const target_directory& { return targets_; }
    /** Returns the targets whose leases are kept here or below. */
    [[nodiscard]] auto leased_targets() const -> std::vector<target_record>;
    /** Returns how many targets are kept though nobody vouches for them now. */
    [[nodiscard]] auto stale_targets() const -> std::size_t { return leases_.stale_count(); }
    [[nodiscard]] auto subscriber_count() const -> std::size_t { return subscribers_.size(); }

  private:
    struct peer {
        std::string name_;
        std::string availability_zone_;
        bool is_relay_ = false;
        bool subscribed_ = false;
        table_version held_; ///< What it holds once the update on its way has arrived.
        bool update_on_its_way_ = false;
        std::optional<instant> whole_table_since_; ///< Set while it has a place for a whole table.
        std::vector<zone_progress> progress_;
    };
    struct waiting_proof {
        subscriber_id from_ = 0;
        std::uint64_t nonce_ = 0;
    };

    void on_subscribe(subscriber_id from, const subscribe& message);
    void on_progress(subscriber_id from, const progress_report& report);
    void on_targets(subscriber_id from, const target_report& report);
    void on_summary(subscriber_id from, const target_summary& summary);
    void on_crashes(subscriber_id from, const crash_report& report);
    auto take_crash_news(const std::vector<crash_record>& crashes, std::optional<subscriber_id> but)
        -> std::vector<crash_record>;
    void broadcast(const std::vector<target_record>& news, std::optional<subscriber_id> but);
    void send(subscriber_id to, const distribution_message& message);
    void send_update(subscriber_id to, peer& peer);
    [[nodiscard]] auto needs_whole_table(const table_version& held) const -> bool;
    void admit_whole_tables();
    void end_late_whole_tables();
    [[nodiscard]] auto encoded_update(const table_version& held)
        -> std::shared_ptr<const std::string>;
    void ask_for_proof();

    struct step {
        table_version from_;
        table_change change_;
    };

    table_pointer newest_;
    publisher_list publishers_;
    std::deque<step> steps_; ///< The latest changes, oldest first; each leads to the next one.
    std::map<table_version, std::shared_ptr<const std::string>> encoded_;
    std::map<subscriber_id, peer> subscribers_;
    target_directory targets_;
    target_leases leases_;
    crash_tracker crashes_;
    std::size_t whole_tables_on_their_way_ = 0;
    std::deque<subscriber_id> waiting_for_whole_table_;
    instant now_{};
    std::vector<waiting_proof> asking_;  ///< Covered by the proof being fetched.
    std::vector<waiting_proof> waiting_; ///< For the next one.
    bool proof_on_its_way_ = false;
    bool has_quorum_contact_ = false;
    publisher_output output_;
};

/** Adds the zones of \p more to \p sum. */
void merge_progress(std::vector<zone_progress>& sum, const std::vector<zone_progress>& more);

} // namespace sycamorewinch
