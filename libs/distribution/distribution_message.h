/** \file
 * The messages between a publisher (control or relay) and those who subscribe to it (relay or
 * node).
 *
 * Upwards: subscribe, currency_request, progress_report, target_report, target_summary.
 * Downwards: table_update, currency_proof, target_report, target_sync, publisher_list.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "crash_record/crash_record.h"
#include "membership/target_directory.h"
#include "membership/target_record.h"
#include "table/table_change.h"

namespace sycamorewinch {

/** The first message of a subscriber: who it is and what it holds. */
struct subscribe {
    std::string name_;
    std::string availability_zone_;
    bool is_relay_ = false;
    table_version held_;
};

/** A step from a version that the receiver holds to a newer one; from the empty table (number 0)
 * it is the whole table. */
struct table_update {
    table_version from_;
    table_version to_;
    table_change change_;
};

/** Asks for proof, by a quorum and after this moment, of what the current version is. */
struct currency_request {
    std::uint64_t nonce_ = 0;
    /** The sender enforces a table already and only wants to know that its upstream is in touch: a
     * control process that hears from the leader answers for itself. */
    bool is_refresh_ = false;
};

/** Every version accepted before the request has a number of at most \p version_. */
struct currency_proof {
    std::uint64_t nonce_ = 0;
    std::uint64_t version_ = 0;
};

/** How far the nodes of one zone have come. */
struct zone_progress {
    std::string availability_zone_;
    std::uint64_t nodes_ = 0;          ///< Nodes that report.
    std::uint64_t lowest_version_ = 0; ///< Every one of them enforces this or a later version.
    std::uint64_t at_lowest_ = 0;      ///< Nodes at that lowest version when others are further.
    std::vector<std::string> at_lowest_names_; ///< Some of their names.

    [[nodiscard]] auto operator==(const zone_progress&) const -> bool = default;
};

/** What a subscriber, and all below it, enforce. */
struct progress_report {
    std::vector<zone_progress> zones_;
};

/** News of targets, in either direction. */
struct target_report {
    std::vector<target_record> targets_;
    bool is_held_ = false; ///< Upwards: the sender, or one below it, keeps these targets' leases.
};

/** What a subscriber knows of the targets, in short; answered by a target_sync. */
struct target_summary {
    target_digests digests_;
};

/** The buckets that differ from a summary, whole. */
struct target_sync {
    bucket_contents contents_;
};

/** News of requests that ended targets, in either direction. */
struct crash_report {
    std::vector<crash_record> crashes_;
};

/** One control process that serves subscribers. */
struct publisher_address {
    std::string availability_zone_;
    std::string address_; ///< IP:PORT for other processes.

    [[nodiscard]] auto operator==(const publisher_address&) const -> bool = default;
};

/** The control processes that the sender is in touch with, itself included. Between replicas: the
 * sender alone. Downwards: where to subscribe. */
struct publisher_list {
    std::vector<publisher_address> publishers_;
};

/** Any message of the protocol. */
using distribution_message =
    std::variant<subscribe, table_update, currency_request, currency_proof, progress_report,
                 target_report, target_summary, target_sync, crash_report, publisher_list>;

/** Returns \p message as bytes. */
[[nodiscard]] auto encode_message(const distribution_message& message) -> std::string;

/** Reads a message back; damaged or oversized input is an error. */
[[nodiscard]] auto decode_distribution_message(std::string_view bytes)
    -> result<distribution_message>;

} // namespace sycamorewinch
