/** \file
 * The messages between a publisher (control process or relay) and its subscribers (relays and
 * nodes).
 *
 * Upstream: subscribe, currency_request, progress_report, target_report, target_summary,
 * crash_report, version_report.
 * Downstream: table_update, currency_proof, target_report, target_sync, crash_report,
 * publisher_list, rollout_update.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "codec/record_list.h"
#include "crash_record/crash_record.h"
#include "membership/target_directory.h"
#include "membership/target_record.h"
#include "rollout/rollout.h"
#include "rollout/version_report.h"
#include "table/table_change.h"

namespace sycamorewinch {

/** The first message of a subscriber: its identity and the table version that it holds. */
struct subscribe {
    std::string name_;
    std::string availability_zone_;
    bool is_relay_ = false;
    table_version held_;
};

/** The change from a version that the receiver holds to a newer one. From the empty table (version
 * number 0) it contains the whole table. */
struct table_update {
    table_version from_;
    table_version to_;
    table_change change_;
};

/** Asks for a proof of currency: the current version number, confirmed by a quorum after this
 * request was sent. */
struct currency_request {
    std::uint64_t nonce_ = 0;
    /** The sender already enforces a table and only checks that its upstream is still connected to
     * the leader. A control process that hears from the leader answers without a quorum. */
    bool is_refresh_ = false;
};

/** Every table accepted before the time that the proof is valid for has a number of at most
 * \p version_, and every set of roll-outs a sequence of at most \p rollout_sequence_. That time is
 * \p age_ms_ before the request was sent. */
struct currency_proof {
    std::uint64_t nonce_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t age_ms_ = 0; ///< 0: a quorum confirmed both after the request.
    std::uint64_t rollout_sequence_ = 0;
};

/** The versions that the nodes of one availability zone enforce. */
struct zone_progress {
    std::string availability_zone_;
    std::uint64_t nodes_ = 0;          ///< Nodes that report progress.
    std::uint64_t lowest_version_ = 0; ///< Every node enforces this or a later version.
    std::uint64_t at_lowest_ = 0;      ///< Nodes at the lowest version while others are ahead.
    std::vector<std::string> at_lowest_names_; ///< The names of some of them.

    [[nodiscard]] auto operator==(const zone_progress&) const -> bool = default;
};

/** The versions that a subscriber and all nodes below it enforce. */
struct progress_report {
    std::vector<zone_progress> zones_;
};

/** Changed records of targets, in either direction. */
struct target_report {
    std::vector<target_record> targets_;
    bool holds_leases_ = false; ///< The sender, or a process below it, keeps the leases.
};

/** The bucket digests of a subscriber's target directory; answered by a target_sync. */
struct target_summary {
    target_digests digests_;
};

/** All records of the buckets whose digests differ from those of a target_summary. */
struct target_sync {
    bucket_contents contents_;
};

/** Records of requests that crashed targets, in either direction. */
struct crash_report {
    std::vector<crash_record> crashes_;
};

/** The address of one control process that serves subscribers. */
struct publisher_address {
    std::string availability_zone_;
    std::string address_; ///< IP:PORT that other processes connect to.

    [[nodiscard]] auto operator==(const publisher_address&) const -> bool = default;
};

/** The control processes that the sender is connected to, including itself: where to subscribe.
 * Between replicas it contains the sender only. */
struct publisher_list {
    std::vector<publisher_address> publishers_;
};

/** The newest set of roll-outs. The receiver ignores it unless its sequence is above the one that
 * it has. */
struct rollout_update {
    rollout_set rollouts_;
};

/** Any message of the protocol. */
using distribution_message =
    std::variant<subscribe, table_update, currency_request, currency_proof, progress_report,
                 target_report, target_summary, target_sync, crash_report, publisher_list,
                 rollout_update, version_report>;

/** Encodes \p message as CBOR, compressed if it is large. */
[[nodiscard]] auto encode_message(const distribution_message& message) -> std::string;

/** Decodes a message; damaged input is an error. Of a list of independent records, those that
 * cannot be read are skipped and passed to \p on_skipped. */
[[nodiscard]] auto decode_distribution_message(std::string_view bytes,
                                               const skipped_record_hook& on_skipped = {})
    -> result<distribution_message>;

} // namespace sycamorewinch
