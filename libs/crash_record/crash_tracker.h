/** \file
 * The requests that ended targets lately, as one process knows them, and the rule that stops them.
 *
 * A request that has ended \ref max_crashed_targets different targets is given to no further one
 * until the window is over. One that a target answers is forgotten at once, so that a popular
 * request in flight to targets that fail for another reason is not stopped.
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

/** How many targets one request may end in the whole system. */
constexpr std::size_t max_crashed_targets = 3;

/** How long a request is remembered after the last target it ended. */
constexpr duration crash_window = std::chrono::minutes(10);

/** How many requests are remembered; the oldest give way. */
constexpr std::size_t max_crash_fingerprints = 4096;

/** What is known at one moment; never changed, read by every thread. */
class crash_view {
  public:
    /** Returns whether a request with this head has ended a target. */
    [[nodiscard]] auto is_suspect(request_head_hash head) const -> bool;
    /** Returns how many different targets the request has ended. */
    [[nodiscard]] auto crashed_targets(const digest& fingerprint) const -> std::size_t;

  private:
    friend class crash_tracker;
    std::set<request_head_hash> heads_;
    std::map<digest, std::size_t> counts_;
};

/** Merges news of requests that ended targets. For one thread. */
class crash_tracker {
  public:
    /** Takes one record; returns whether it was news. */
    auto merge(const crash_record& record, instant now) -> bool;

    /** Forgets what is older than the window; returns whether anything was forgotten. */
    auto expire(instant now) -> bool;

    /** Returns what is remembered, for a process that has just connected. */
    [[nodiscard]] auto records() const -> std::vector<crash_record>;

    /** Returns the view for the threads that carry calls. */
    [[nodiscard]] auto view() const -> std::shared_ptr<const crash_view>;

  private:
    struct entry {
        request_head_hash head_;
        std::set<std::string> targets_;
        instant latest_;
    };

    void make_room();

    std::map<digest, entry> entries_;
};

} // namespace sycamorewinch
