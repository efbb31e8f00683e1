/** \file
 * The requests that recently crashed targets, as known to one process.
 *
 * A request that has crashed \ref max_crashed_targets different targets is sent to no further
 * target until the window has passed. A request that a target answers is removed at once, so that a
 * popular request in flight to targets that fail for another reason is not blocked.
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "crash_record/crash_record.h"

namespace sycamorewinch {

/** How many targets one request may crash in the whole system. */
constexpr std::size_t max_crashed_targets = 3;

/** How long a request is tracked after its last crash of a target. */
constexpr duration crash_window = std::chrono::minutes(10);

/** How many requests are tracked; the one with the oldest crash is evicted first. */
constexpr std::size_t max_crash_fingerprints = 4096;

/** An immutable view of the tracked requests, shared by all threads. */
class crash_view {
  public:
    /** Returns whether a request with this head has crashed a target. */
    [[nodiscard]] auto is_suspect(request_head_hash head) const -> bool;
    /** Returns the number of different targets that the request has crashed. */
    [[nodiscard]] auto crashed_targets(const digest& fingerprint) const -> std::size_t;

  private:
    friend class crash_tracker;
    std::set<request_head_hash> heads_;
    std::map<digest, std::size_t> counts_;
};

/** Merges crash records. Not thread-safe. */
class crash_tracker {
  public:
    /** Merges one record; returns whether it changed anything that others must learn. */
    auto merge(const crash_record& record, instant now) -> bool;

    /** Removes requests whose last crash is older than the window; returns whether any were. */
    auto expire(instant now) -> bool;

    /** Returns all crash records, to be sent to a process that has just connected. */
    [[nodiscard]] auto records() const -> std::vector<crash_record>;

    /** Returns a view for the threads that serve calls. */
    [[nodiscard]] auto view() const -> std::shared_ptr<const crash_view>;

  private:
    struct entry {
        request_head_hash head_;
        std::set<std::string> targets_;
        instant last_crash_at_;
    };

    void evict_least_recent_if_full();

    std::map<digest, entry> entries_;
};

} // namespace sycamorewinch
