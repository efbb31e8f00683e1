/** \file
 * The decision of the node beside a target whether a request may go to it: drain, slots, and the
 * caller's limits. What is refused here has not been run.
 *
 * A caller's limit in the table is for the whole system. This node grants its target's share of it
 * (policy/limit_share.h). The last quarter of the slots is for callers that hold less than an even
 * part of all: one that holds more is refused, so that a rush of one caller cannot crowd out the
 * others. Counts are atomics; callers are found in a fixed hash table without a lock.
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

namespace sycamorewinch {

class admission_controller;

/** The right to run one request; gives its slot back when it is destroyed. */
class admission_ticket {
  public:
    admission_ticket() = default;
    /** Stands for one slot of \p from and one request of the caller counted in \p caller_count. */
    admission_ticket(admission_controller& from, std::atomic<std::uint32_t>& caller_count)
        : from_(&from), caller_count_(&caller_count)
    {
    }
    admission_ticket(const admission_ticket&) = delete;
    auto operator=(const admission_ticket&) -> admission_ticket& = delete;
    admission_ticket(admission_ticket&& other) noexcept;
    auto operator=(admission_ticket&& other) noexcept -> admission_ticket&;
    ~admission_ticket();

  private:
    admission_controller* from_ = nullptr;
    std::atomic<std::uint32_t>* caller_count_ = nullptr;
};

/** Either a ticket or the reason for refusing. */
struct admission_result {
    admission_ticket ticket_;
    std::optional<refusal_reason> refusal_;
};

/** Admits requests to one target. Safe from any thread. */
class admission_controller {
  public:
    /** \p slots is how many requests the target runs at once. */
    explicit admission_controller(std::uint32_t slots) : slots_(slots) {}

    /** Decides on a request of \p caller, of whose limits \p share falls to this target. Requests
     * without a caller's name are no caller's rush. */
    [[nodiscard]] auto admit(std::string_view caller, const limit_share& share, instant now)
        -> admission_result;

    /** From now on refuses all new work. */
    void set_draining(bool draining) { draining_ = draining; }
    void set_slots(std::uint32_t slots) { slots_ = slots; }
    [[nodiscard]] auto slots() const -> std::uint32_t { return slots_; }
    [[nodiscard]] auto in_flight() const -> std::uint32_t { return in_flight_; }

  private:
    friend class admission_ticket;

    struct caller_cell {
        std::atomic<std::uint64_t> key_{0};
        rate_limiter rate_;
        std::atomic<std::uint32_t> in_flight_{0};
        std::atomic<std::int64_t> last_period_{-1}; ///< In which it was seen.
    };
    static constexpr std::size_t cell_count = 4096;

    [[nodiscard]] auto find_cell(std::string_view caller) -> caller_cell&;
    [[nodiscard]] auto take(caller_cell& cell) -> admission_ticket;
    [[nodiscard]] auto is_above_even_part(std::uint32_t held) const -> bool;
    void note_caller(caller_cell& cell, instant now);

    std::atomic<std::uint32_t> slots_;
    std::atomic<std::uint32_t> in_flight_{0};
    std::atomic<std::int64_t> period_{0}; ///< Callers are counted by periods of one second.
    std::atomic<std::uint32_t> callers_now_{0};
    std::atomic<std::uint32_t> callers_before_{0}; ///< In the period before.
    std::atomic<bool> draining_{false};
    std::array<caller_cell, cell_count> cells_;
};

} // namespace sycamorewinch
