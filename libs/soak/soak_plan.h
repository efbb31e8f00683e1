/** \file
 * Which faults a run injects, when and where: drawn from one seed, so that a run can be played
 * again with the same faults.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/random.h"
#include "soak/fault_proxy.h"

namespace sycamorewinch {

/** What happens to a process, to a link, or from an operator. */
enum class soak_action : std::uint8_t {
    kill,      ///< A process is killed, and started again when the fault is over.
    pause,     ///< A process stands still.
    terminate, ///< A process is asked to end, and started again.
    wipe,      ///< A control process is killed and loses its disk.
    link,      ///< A link misbehaves.
    edit,      ///< An operator accepts a change.
    race,      ///< Two operators change one version at once.
};

constexpr enum_names<soak_action, 7> soak_action_names{
    {"kill", "pause", "terminate", "wipe", "link", "edit", "race"}};

/** What a run consists of, for drawing its faults. */
struct soak_size {
    unsigned controls_ = 3;
    unsigned relays_ = 2;
    unsigned nodes_ = 6;
    unsigned links_ = 0; ///< Proxied links of all kinds.
    std::chrono::milliseconds length_{10'000};
};

/** One fault. */
struct soak_fault {
    std::chrono::milliseconds at_{0};
    std::chrono::milliseconds lasts_{0};
    soak_action action_ = soak_action::edit;
    link_fault link_fault_ = link_fault::none;
    std::string process_; ///< `control-0`, `relay-1`, `node-2` or `target-3`; empty: none.
    unsigned link_ = 0;   ///< Position among the links.
};

/** Returns one line of text for the account. */
[[nodiscard]] auto to_text(const soak_fault& fault) -> std::string;

/** Returns the faults of \p seed by their time. They come in series and overlap; at most one disk
 * is lost, because the group of three bears no more. */
[[nodiscard]] auto make_soak_plan(std::uint64_t seed, const soak_size& size)
    -> std::vector<soak_fault>;

} // namespace sycamorewinch
