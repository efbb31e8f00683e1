/** \file
 * All targets that one process knows of, merged from announcements that may be late or crossed.
 *
 * Two directories compare themselves by a summary: one short digest for each bucket of names. Only
 * the buckets that differ are sent, so that a reconnect costs about a kilobyte and not all records.
 * A target that is gone is remembered for a while, so that late news does not bring it back; it is
 * no part of a summary.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/target_record.h"

namespace sycamorewinch {

/** How many buckets a summary has. */
constexpr std::size_t target_buckets = 256;

/** How long a target that is gone is remembered. */
constexpr duration gone_remembered = std::chrono::hours(1);

/** Names one target. */
struct target_key {
    std::string service_;
    std::string target_;

    [[nodiscard]] auto operator<=>(const target_key&) const = default;
};

/** Returns the key of \p record. */
[[nodiscard]] auto key_of(const target_record& record) -> target_key;

/** Returns the bucket that \p key belongs to. */
[[nodiscard]] auto bucket_of(const target_key& key) -> std::size_t;

/** One digest for each bucket, or nothing at all for a directory without targets. */
using target_digests = std::vector<std::uint32_t>;

/** All the records of some buckets. */
struct bucket_contents {
    std::vector<std::size_t> buckets_;
    std::vector<target_record> targets_;
};

/** What came of comparing with another directory's buckets. */
struct bucket_comparison {
    std::vector<target_record> target_updates_; ///< Merged here.
    std::vector<target_record> newer_local_;    ///< What the other one should hear.
};

/** The known targets by service and name. */
class target_directory {
  public:
    /** Takes \p record if it is news; returns whether it was. */
    auto merge(const target_record& record) -> bool;

    /** Forgets targets that have been gone for gone_remembered. */
    void forget_gone(instant now);

    /** Forgets everything but the records that \p keep names. */
    void retain_only(const std::vector<target_record>& keep);

    /** Returns every record, the gone ones included. */
    [[nodiscard]] auto records() const -> std::vector<target_record>;

    /** Returns the record of one target, or nullptr. */
    [[nodiscard]] auto find(const std::string& service, const std::string& target) const
        -> const target_record*;

    [[nodiscard]] auto size() const -> std::size_t;

    /** Returns the digests of the targets that are not gone. */
    [[nodiscard]] auto digests() const -> target_digests;

    /** Returns the buckets whose digests differ from \p theirs, with their records here. */
    [[nodiscard]] auto differing_buckets(const target_digests& theirs) const -> bucket_contents;

    /** Merges \p theirs, and finds what is later here. */
    auto merge_buckets(const bucket_contents& theirs) -> bucket_comparison;

  private:
    /** One bucket's records, and the sum of the digests of those that are not gone. */
    struct bucket {
        std::map<target_key, target_record> records_;
        std::uint32_t digest_ = 0;
    };

    void forget(const target_key& key);

    std::vector<bucket> buckets_ = std::vector<bucket>(target_buckets);
    std::map<target_key, std::optional<instant>> gone_; ///< Since when, once time was told.
};

} // namespace sycamorewinch
