#include "membership/target_directory.h"

#include <algorithm>

#include "base/digest.h"

namespace sycamorewinch {

namespace {

/** Returns what \p record contributes to the digest of its bucket: 0 for a tombstone. */
auto record_digest(const target_record& record) -> std::uint32_t
{
    if (record.state_ == target_state::gone) {
        return 0;
    }
    const auto name = hash_of(record.target_, hash_of(record.service_));
    const auto with_incarnation = hash_of(std::to_string(record.incarnation_), name);
    const auto with_sequence = hash_of(std::to_string(record.sequence_), with_incarnation);
    return static_cast<std::uint32_t>(hash_of(std::to_string(record.left_start_), with_sequence));
}

/** Returns whether \p record says anything that \p than, a record of the same target, does not. */
auto has_news(const target_record& record, const target_record& than) -> bool
{
    return is_newer(record, than) || record.left_start_ > than.left_start_;
}

} // namespace

auto key_of(const target_record& record) -> target_key
{
    return {record.service_, record.target_};
}

auto bucket_of(const target_key& key) -> std::size_t
{
    return hash_of(key.target_, hash_of(key.service_)) % target_buckets;
}

auto target_directory::merge(const target_record& record) -> bool
{
    const auto key = key_of(record);
    auto& bucket = buckets_[bucket_of(key)];
    const auto found = bucket.records_.find(key);
    auto merged = record;
    if (found != bucket.records_.end()) {
        const auto& known = found->second;
        if (!has_news(record, known)) {
            return false;
        }
        bucket.digest_ -= record_digest(known);
        merged = is_newer(record, known) ? record : known;
        merged.left_start_ = std::max(record.left_start_, known.left_start_);
    }
    bucket.records_[key] = merged;
    bucket.digest_ += record_digest(merged);
    if (merged.state_ == target_state::gone) {
        tombstones_[key] = std::nullopt;
    }
    else {
        tombstones_.erase(key);
    }
    return true;
}

// Only tombstones are removed; they contribute nothing to the bucket digest.
void target_directory::erase_record(const target_key& key)
{
    buckets_[bucket_of(key)].records_.erase(key);
}

void target_directory::purge_tombstones(instant now)
{
    for (auto entry = tombstones_.begin(); entry != tombstones_.end();) {
        entry->second = entry->second.value_or(now);
        if (now - *entry->second >= tombstone_retention) {
            erase_record(entry->first);
            entry = tombstones_.erase(entry);
        }
        else {
            ++entry;
        }
    }
}

void target_directory::retain_only(const std::vector<target_record>& keep)
{
    *this = {};
    for (const auto& record : keep) {
        merge(record);
    }
}

auto target_directory::size() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto& bucket : buckets_) {
        sum += bucket.records_.size();
    }
    return sum;
}

auto target_directory::records() const -> std::vector<target_record>
{
    std::vector<target_record> all;
    all.reserve(size());
    for (const auto& bucket : buckets_) {
        for (const auto& [key, record] : bucket.records_) {
            all.push_back(record);
        }
    }
    return all;
}

auto target_directory::find(const std::string& service, const std::string& target) const
    -> const target_record*
{
    const target_key key{service, target};
    const auto& records = buckets_[bucket_of(key)].records_;
    const auto found = records.find(key);
    return found == records.end() ? nullptr : &found->second;
}

auto target_directory::digests() const -> target_digests
{
    target_digests bucket_digests;
    for (const auto& bucket : buckets_) {
        bucket_digests.push_back(bucket.digest_);
    }
    const auto is_empty =
        std::ranges::all_of(bucket_digests, [](auto bucket_digest) { return bucket_digest == 0; });
    return is_empty ? target_digests() : bucket_digests;
}

auto target_directory::differing_buckets(const target_digests& remote) const -> bucket_contents
{
    auto padded = remote;
    padded.resize(target_buckets);
    bucket_contents contents;
    for (std::size_t index = 0; index < target_buckets; ++index) {
        const auto& bucket = buckets_[index];
        if (bucket.digest_ == padded[index]) {
            continue;
        }
        contents.buckets_.push_back(index);
        for (const auto& [key, record] : bucket.records_) {
            contents.targets_.push_back(record);
        }
    }
    return contents;
}

auto target_directory::merge_buckets(const bucket_contents& remote) -> bucket_merge_result
{
    bucket_merge_result merged;
    std::map<target_key, const target_record*> remote_records;
    for (const auto& record : remote.targets_) {
        remote_records[key_of(record)] = &record;
        if (merge(record)) {
            merged.target_updates_.push_back(*find(record.service_, record.target_));
        }
    }
    for (const auto index : remote.buckets_) {
        for (const auto& [key, record] : buckets_[index % target_buckets].records_) {
            const auto found = remote_records.find(key);
            // A tombstone that the other directory lacks may have been purged there, so it is not
            // resent.
            const auto is_newer_locally = found == remote_records.end()
                                              ? record.state_ != target_state::gone
                                              : has_news(record, *found->second);
            if (is_newer_locally) {
                merged.newer_local_.push_back(record);
            }
        }
    }
    return merged;
}

} // namespace sycamorewinch
