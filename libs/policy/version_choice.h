/** \file
 * Divides the targets of a service by software version while a roll-out of it decides which of them
 * get calls.
 *
 * All nodes derive the same division from the same roll-out and targets. While a roll-out is
 * running, a share of the calls goes to targets of the new version, and only as many of these are
 * used as the share requires: the first ones in the rendezvous order of their names. A target that
 * joins or leaves then changes the subset by at most one target.
 *
 * A call is given a side once, and all its attempts stay there. A side without room refuses calls:
 * moved ones would expose more calls to a new version that is slow or failing, or hide that it
 * cannot carry its share.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "policy/route_table.h"
#include "rollout/rollout.h"

namespace sycamorewinch {

/** A node whose roll-outs were last known to be current longer ago than this sends no calls to the
 * new version of a running one, which may have been rolled back meanwhile. */
constexpr duration rollout_set_timeout = std::chrono::seconds(2);

/** When the roll-outs in force were last known to be current. Safe from any thread. */
class rollout_currency {
  public:
    void set_proved_at(instant proved_at)
    {
        proved_at_.store(proved_at.time_since_epoch().count(), std::memory_order_relaxed);
    }
    [[nodiscard]] auto is_current(instant now) const -> bool
    {
        const instant proved_at{duration(proved_at_.load(std::memory_order_relaxed))};
        return now - proved_at <= rollout_set_timeout;
    }

  private:
    /** Initially so early that no proof counts, without overflow in is_current(). */
    std::atomic<instant::rep> proved_at_{instant::min().time_since_epoch().count() / 2};
};

/** Targets of a service by the side of its roll-out. */
struct version_sides {
    std::vector<const target_record*> old_;
    std::vector<const target_record*> new_;
};

/** The two sides of a running roll-out. */
struct version_split {
    std::uint32_t share_ = 0; ///< As in rollout.
    service_route old_;
    service_route new_;
    std::shared_ptr<const rollout_currency> currency_; ///< Null: always current.
};

/** Returns the targets among \p targets, all of the service of \p rollout and up, that get calls.
 * Without targets of the new version, all calls go to the others. While the roll-out is running and
 * no call goes to the new version, that side is empty; after it has ended, at most one side is not
 * empty. */
[[nodiscard]] auto divide_by_version(const rollout& rollout,
                                     const std::vector<const target_record*>& targets)
    -> version_sides;

/** Returns the side of \p route that one call uses; \p route itself unless a roll-out of its
 * service is running. */
[[nodiscard]] auto choose_version(const service_route& route, instant now,
                                  const random_hook& random) -> const service_route&;

} // namespace sycamorewinch
