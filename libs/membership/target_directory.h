/** \file
 * All targets known to one process, merged from announcements that may arrive late or out of order.
 *
 * Two directories are synchronized by a summary: one short digest per hash bucket of target names.
 * Only the buckets that differ are sent, so a reconnect costs about a kilobyte instead of all
 * records. The record of a target that is gone is kept for a while as a tombstone, so that a late
 * announcement does not bring it back; tombstones are not part of a summary.
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

/** The number of buckets in a summary. */
constexpr std::size_t target_buckets = 256;

/** How long the tombstone of a target that is gone is kept. */
constexpr duration tombstone_retention = std::chrono::hours(1);

/** Identifies one target. */
struct target_key {
    std::string service_;
    std::string target_;

    [[nodiscard]] auto operator<=>(const target_key&) const = default;
};

/** Returns the key of \p record. */
[[nodiscard]] auto key_of(const target_record& record) -> target_key;

/** Returns the bucket that \p key belongs to. */
[[nodiscard]] auto bucket_of(const target_key& key) -> std::size_t;

/** One digest per bucket, or empty for a directory without targets. */
using target_digests = std::vector<std::uint32_t>;

/** All records of some buckets. */
struct bucket_contents {
    std::vector<std::size_t> buckets_;
    std::vector<target_record> targets_;
};

/** The result of merging another directory's buckets. */
struct bucket_merge_result {
    std::vector<target_record> target_updates_; ///< Newer in the other directory; merged.
    std::vector<target_record> newer_local_;    ///< Newer here; to be sent to the other.
};

/** The records of the known targets by service and name. */
class target_directory {
  public:
    /** Merges \p record with the stored one; returns whether the stored one changed. */
    auto merge(const target_record& record) -> bool;

    /** Removes tombstones that are older than tombstone_retention. */
    void purge_tombstones(instant now);

    /** Replaces all records by those of \p keep. */
    void retain_only(const std::vector<target_record>& keep);

    /** Returns all records, including tombstones. */
    [[nodiscard]] auto records() const -> std::vector<target_record>;

    /** Returns the record of one target, or nullptr if unknown. */
    [[nodiscard]] auto find(const std::string& service, const std::string& target) const
        -> const target_record*;

    [[nodiscard]] auto size() const -> std::size_t;

    /** Returns the bucket digests of the targets that are not gone. */
    [[nodiscard]] auto digests() const -> target_digests;

    /** Returns the buckets whose digests differ from \p remote, with the records stored here. */
    [[nodiscard]] auto differing_buckets(const target_digests& remote) const -> bucket_contents;

    /** Merges the buckets of another directory and returns the differences found. */
    auto merge_buckets(const bucket_contents& remote) -> bucket_merge_result;

  private:
    /** The records of one bucket, and the sum of the digests of those that are not gone. */
    struct bucket {
        std::map<target_key, target_record> records_;
        std::uint32_t digest_ = 0;
    };

    void erase_record(const target_key& key);

    std::vector<bucket> buckets_ = std::vector<bucket>(target_buckets);
    /** The targets that are gone, with the time of the first purge_tombstones() afterwards. */
    std::map<target_key, std::optional<instant>> tombstones_;
};

} // namespace sycamorewinch
