/** \file
 * Which nodes did not answer, and when this node last heard from another one.
 */
#pragma once

#include <string>
#include <unordered_map>

#include "base/time.h"

namespace sycamorewinch {

/** The nodes that are not asked, because they did not answer. From time to time one of them is
 * asked for nothing but an answer, so that no request waits for it. */
class holder_reachability {
  public:
    /** Takes note that \p address did not answer; returns whether it was reachable before. */
    auto on_failure(const std::string& address, instant now) -> bool;
    /** Takes note that \p address answered. */
    void on_answer(const std::string& address, instant now);
    /** Takes note that another node asked. */
    void on_heard(instant now) { heard_at_ = now; }

    [[nodiscard]] auto is_unreachable(const std::string& address) const -> bool
    {
        return next_probes_.contains(address);
    }
    /** Returns whether the unreachable \p address is to be asked for an answer now, and if so
     * counts that as done. */
    auto begin_probe(const std::string& address, instant now) -> bool;

    /** Returns when another node last asked or answered. */
    [[nodiscard]] auto heard_at() const -> instant { return heard_at_; }

  private:
    std::unordered_map<std::string, instant> next_probes_; ///< Of the unreachable nodes.
    instant heard_at_{};
};

} // namespace sycamorewinch
