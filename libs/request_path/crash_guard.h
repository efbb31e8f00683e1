/** \file
 * Prevents one request that crashes its targets from crashing all targets of a service.
 *
 * The node beside a target creates a guard for each request that it sends to the target. If a
 * request with the same head has crashed a target before, the request is held until the start of
 * its body shows whether it is the same request. Every other request is sent without delay;
 * its check costs one hash.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "crash_record/crash_tracker.h"
#include "request_path/exchange.h"

namespace sycamorewinch {

/** Publishes a crash record to the rest of the system. Safe from any thread. */
using crash_report_hook = std::function<void(crash_record record)>;

/** The guard of one request. */
class crash_guard {
  public:
    crash_guard(std::shared_ptr<const crash_view> view, const crash_report_hook& report,
                const exchange_request& request);

    /** Returns whether the request must be held until has_whole_fingerprint() or until its
     * body ends. */
    [[nodiscard]] auto needs_body() const -> bool { return is_suspect_ && has_body_; }
    /** Takes a part of the request's body. */
    void on_body(std::string_view bytes);
    /** Returns whether the whole part of the body that the fingerprint covers has arrived. */
    [[nodiscard]] auto has_whole_fingerprint() const -> bool;
    /** Returns whether the request has crashed max_crashed_targets targets. */
    [[nodiscard]] auto must_refuse() const -> bool;

    /** To be called when the connection to the target broke before a response began, which is taken
     * for a crash of the target. */
    void on_suspected_crash() const;
    /** To be called when the target's response began. */
    void on_target_responded() const;

  private:
    [[nodiscard]] auto make_record(crash_event event) const -> crash_record;

    std::shared_ptr<const crash_view> view_;
    const crash_report_hook& report_;
    request_head_hash head_;
    std::string target_;
    std::string body_start_;
    bool has_body_;
    bool is_suspect_;
};

} // namespace sycamorewinch
