/** \file
 * Keeps one request that ends the targets it is given to from ending them all.
 *
 * The node beside a target makes a guard for each request it gives to it. A request whose head has
 * ended a target before is held until the start of its body tells whether it is that very one;
 * every other request passes at the cost of one hash.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "crash_record/crash_tracker.h"
#include "request_path/exchange.h"

namespace sycamorewinch {

/** Tells the rest of the system. Safe from any thread. */
using crash_report_hook = std::function<void(crash_record record)>;

/** Watches one request at the node beside its target. */
class crash_guard {
  public:
    crash_guard(std::shared_ptr<const crash_view> view, const crash_report_hook& port,
                const exchange_request& request);

    /** Returns whether the request must be held until is_decided(). */
    [[nodiscard]] auto needs_body() const -> bool { return is_suspect_ && has_body_; }
    /** Takes a part of the request's body. */
    void on_body(std::string_view bytes);
    /** Returns whether enough of the body is here to know the request. */
    [[nodiscard]] auto is_decided() const -> bool;
    /** Returns whether the request has ended as many targets as one may. */
    [[nodiscard]] auto is_refused() const -> bool;

    /** The target's connection broke before an answer began. */
    void on_crashed() const;
    /** The target began to answer. */
    void on_answered() const;

  private:
    [[nodiscard]] auto record_of(crash_event event) const -> crash_record;

    std::shared_ptr<const crash_view> view_;
    const crash_report_hook& port_;
    request_head_hash head_;
    std::string target_;
    std::string body_start_;
    bool has_body_;
    bool is_suspect_;
};

} // namespace sycamorewinch
