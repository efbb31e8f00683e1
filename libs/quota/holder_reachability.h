/** \file
 * Which nodes did not answer, and when one last did not.
 */
#pragma once

#include <optional>
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
    void on_answer(const std::string& address);
    [[nodiscard]] auto is_unreachable(const std::string& address) const -> bool
    {
        return next_probes_.contains(address);
    }
    /** Returns whether the unreachable \p address is to be asked for an answer now, and if so
     * counts that as done. */
    auto begin_probe(const std::string& address, instant now) -> bool;

    /** Returns when a node last did not answer. */
    [[nodiscard]] auto failed_at() const -> std::optional<instant> { return failed_at_; }

  private:
    std::unordered_map<std::string, instant> next_probes_; ///< Of the unreachable nodes.
    std::optional<instant> failed_at_;
};

} // namespace sycamorewinch
