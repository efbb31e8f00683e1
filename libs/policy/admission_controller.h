/** \file
 * Admission control on the node beside a target: decides whether a request may be sent to the
 * target, by drain state, free slots, the caller's limits and the request rate that the target has
 * stated. A request refused here has not been run.
 *
 * A caller's limit in the table applies to the whole system; this node enforces its target's share
 * of it (policy/limit_share.h). The last quarter of the slots is reserved for callers that hold no
 * more than a fair share (slots divided by active callers). A caller above its fair share is
 * refused there, so that overload by one caller does not starve the others.
 *
 * Counters are atomic. Callers are looked up in a fixed-size hash table without locks.
 */
#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string_view>

#include "policy/limit_share.h"
#include "policy/rate_limiter.h"
#include "policy/refusal.h"
#include "policy/stated_rate_limit.h"

namespace sycamorewinch {

class admission_controller;

/** Permission to run one request. Releases its slot when it is destroyed. */
class admission_ticket {
  public:
    admission_ticket() = default;
    /** Owns one slot of \p controller and one request counted in \p caller_count. */
    admission_ticket(admission_controller& controller, std::atomic<std::uint32_t>& caller_count)
        : controller_(&controller), caller_count_(&caller_count)
    {
    }
    admission_ticket(const admission_ticket&) = delete;
    auto operator=(const admission_ticket&) -> admission_ticket& = delete;
    admission_ticket(admission_ticket&& other) noexcept;
    auto operator=(admission_ticket&& other) noexcept -> admission_ticket&;
    ~admission_ticket();

  private:
    admission_controller* controller_ = nullptr;
    std::atomic<std::uint32_t>* caller_count_ = nullptr;
};

/** A ticket, or the reason for the refusal. */
struct admission_result {
    admission_ticket ticket_;
    std::optional<refusal_reason> refusal_;
};

/** Admits requests to one target. Safe from any thread. */
class admission_controller {
  public:
    /** \p slots is the number of requests that the target runs concurrently. */
    explicit admission_controller(std::uint32_t slots) : slots_(slots) {}

    /** Admits or refuses a request of \p caller; \p share is this target's share of the caller's
     * limit. Requests with an empty caller name are exempt from the fair share rule. */
    [[nodiscard]] auto admit(std::string_view caller, const limit_share& share, instant now)
        -> admission_result;

    /** While \p draining is set, every new request is refused. */
    void set_draining(bool draining) { draining_ = draining; }
    /** Records that the target has said it is leaving: every new request is refused until
     * begin_start(). Returns whether this is the first time since then. */
    auto set_leaving() -> bool { return !leaving_.exchange(true); }
    /** To be called when the target has started anew: what the earlier start stated is void. */
    void begin_start();
    /** Returns the number of calls of begin_start(); a statement holds for the start it was made
     * in. */
    [[nodiscard]] auto start_number() const -> std::uint32_t { return start_number_; }
    void set_slots(std::uint32_t slots) { slots_ = slots; }
    [[nodiscard]] auto slots() const -> std::uint32_t { return slots_; }
    [[nodiscard]] auto in_flight() const -> std::uint32_t { return in_flight_; }
    /** Returns the request rate that the target has stated. */
    [[nodiscard]] auto stated_limit() -> stated_rate_limit& { return stated_limit_; }

  private:
    friend class admission_ticket;

    struct caller_entry {
        std::atomic<std::uint64_t> caller_hash_{0};
        rate_limiter rate_;
        std::atomic<std::uint32_t> in_flight_{0};
        /** The last period with a request of the caller. */
        std::atomic<std::int64_t> last_active_period_{-1};
    };
    static constexpr std::size_t entry_count = 4096;

    [[nodiscard]] auto find_entry(std::string_view caller) -> caller_entry&;
    [[nodiscard]] auto acquire_slot(caller_entry& entry) -> admission_ticket;
    [[nodiscard]] auto exceeds_fair_share(std::uint32_t held) const -> bool;
    void count_active_caller(caller_entry& entry, instant now);

    std::atomic<std::uint32_t> slots_;
    std::atomic<std::uint32_t> in_flight_{0};
    std::atomic<std::int64_t> current_period_{0}; ///< Active callers are counted per second.
    std::atomic<std::uint32_t> active_callers_{0};
    std::atomic<std::uint32_t> previous_active_callers_{0}; ///< In the previous period.
    std::atomic<bool> draining_{false};
    std::atomic<bool> leaving_{false};
    std::atomic<std::uint32_t> start_number_{0};
    stated_rate_limit stated_limit_;
    std::array<caller_entry, entry_count> entries_;
};

} // namespace sycamorewinch
