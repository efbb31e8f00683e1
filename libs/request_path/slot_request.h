/** \file
 * Obtains a slot of a target beside this node for one request: at once, after a wait in the
 * target's queue, or not at all.
 *
 * The load that it answers is a target without a free slot, or whose stated rate is used up. A
 * request waits only if the wait is expected to end in time; otherwise it is refused at once, with
 * the expected wait, so that it can be tried at another target or return when there is room.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event_loop/deadline_timer.h"
#include "policy/admission_controller.h"
#include "policy/slot_reservation.h"
#include "policy/target_meter.h"
#include "request_path/exchange.h"
#include "request_path/wait_queue.h"

namespace sycamorewinch {

/** The target whose slot is wanted. The queue must outlive the slot_request. */
struct slot_source {
    std::shared_ptr<admission_controller> admission_;
    std::shared_ptr<target_meter> meter_;
    std::shared_ptr<slot_reservation> reservation_;
    wait_queue& queue_;
};

/** What a request states about itself and the time that it has. */
struct slot_demand {
    std::string caller_; ///< As in exchange_request.
    std::string row_;    ///< Service of the row that the request matches.
    limit_share limit_share_;
    std::uint32_t priority_ = 0;
    duration latency_budget_{0}; ///< As in exchange_request, at the time of start().
    duration time_left_{0};      ///< Until the call's deadline, at the time of start().
    duration refusal_delay_{0};  ///< As in exchange_request.
    bool is_last_choice_ = false;
};

/** Notifications of a slot_request. Exactly one of them is called, unless it is withdrawn. */
struct slot_hooks {
    std::function<void()> on_admitted_;
    /** No slot was obtained. \p retry_after: the expected wait; zero if waiting would not help. */
    std::function<void(refusal_reason reason, duration retry_after)> on_refused_;
};

/** A request for one slot, and the slot once it is obtained. For one thread. */
class slot_request : public std::enable_shared_from_this<slot_request> {
  public:
    slot_request(slot_source source, slot_demand demand, slot_hooks hooks);

    /** Obtains the slot, queues the request, or refuses it. Call once. */
    void start();
    /** Gives up the wait or the slot, without calling a hook, and lets the queue start other
     * requests if a slot has become free. May be called more than once. */
    void release();

    /** Returns the expected wait for a slot or for the target's rate, whichever is longer. */
    [[nodiscard]] auto expected_wait() const -> duration;

  private:
    /** Takes a slot if the request is admitted; otherwise returns the reason for the refusal. */
    auto try_admit() -> std::optional<refusal_reason>;
    void enqueue_or_refuse(refusal_reason reason);
    auto try_start() -> bool;
    void on_wait_timeout();
    void await_rate();
    void leave_queue();
    void admitted();
    void refuse(refusal_reason reason, duration retry_after);
    [[nodiscard]] auto rank() const -> queue_rank;
    [[nodiscard]] auto is_wait_hopeless() const -> bool;

    slot_source source_;
    slot_demand demand_;
    slot_hooks hooks_;
    admission_ticket ticket_;
    slot_use slot_use_;                        ///< While ticket_ holds a slot.
    std::optional<queue_position> position_;   ///< Set while the request is in the queue.
    std::optional<deadline_timer> wait_timer_; ///< Set while the request is in the queue.
    std::optional<deadline_timer> rate_timer_; ///< Set while it waits there for the target's rate.
    refusal_reason wait_reason_ = refusal_reason::target_full; ///< Why it is in the queue.
    instant wait_end_{};                                       ///< End of its longest wait.
    bool wait_ends_with_deadline_ = false; ///< A longer wait would exceed the call's deadline.
};

} // namespace sycamorewinch
