/** \file
 * The faults that a run injects, with the time and place of each. They are generated from one seed,
 * so that a run can be repeated with the same faults.
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

/** A fault of a process or a link, or an action of an operator. */
enum class soak_action : std::uint8_t {
    kill,      ///< A process is killed, and restarted when the fault ends.
    pause,     ///< A process is suspended until the fault ends.
    terminate, ///< A process is asked to exit, and restarted when the fault ends.
    wipe,      ///< Like kill, for a control process; its data directory is deleted as well.
    link,      ///< A link has a fault.
    edit,      ///< An operator submits a change of the table.
    race,      ///< Two operators concurrently submit changes based on the same version.
};

constexpr enum_names<soak_action, 7> soak_action_names{
    {"kill", "pause", "terminate", "wipe", "link", "edit", "race"}};

/** Size of the system and length of the run. */
struct soak_size {
    unsigned controls_ = 3;
    unsigned relays_ = 2;
    unsigned nodes_ = 6;
    unsigned links_ = 0; ///< Connections between processes that pass a fault proxy.
    std::chrono::milliseconds length_{10'000};
};

/** One fault. */
struct soak_fault {
    std::chrono::milliseconds start_{0};
    std::chrono::milliseconds duration_{0};
    soak_action action_ = soak_action::edit;
    link_fault link_fault_ = link_fault::none;
    std::string process_; ///< `control-0`, `relay-1`, `node-2` or `target-3`; empty: none.
    unsigned link_ = 0;   ///< Index of the link, if action_ is link.
};

/** Returns one line of text for the report. */
[[nodiscard]] auto to_text(const soak_fault& fault) -> std::string;

/** Returns the faults generated from \p seed, ordered by start. The same fault may occur several
 * times in succession, and faults may overlap. Each plan also restarts nodes one after another. At
 * most one disk is lost in a run, because a group of three replicas does not tolerate more. */
[[nodiscard]] auto make_soak_plan(std::uint64_t seed, const soak_size& size)
    -> std::vector<soak_fault>;

} // namespace sycamorewinch
