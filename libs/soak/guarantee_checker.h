/** \file
 * Records what callers, targets and operators observed during a run, and reports which guarantees
 * of the system the observations violate.
 *
 * A black-box check: it compares responses with what targets ran, versions in force with those seen
 * before, and the table read at the end with the edits that were accepted.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "standin/load_generator.h"

namespace sycamorewinch {

/** Number of observations of a run, for its report. */
struct observation_counts {
    std::uint64_t calls_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_not_run_ = 0;
    std::uint64_t unknown_ = 0; ///< Calls that ended in any other way.
    std::uint64_t runs_ = 0;
    std::uint64_t versions_seen_ = 0;
    std::uint64_t edits_accepted_ = 0;
};

/** Collects observations and checks them. */
class guarantee_checker {
  public:
    /** A call began. \p is_repeatable: its row allows it to be run more than once. */
    void record_call_start(const std::string& key, bool is_repeatable);
    /** The call ended. One that never ends may or may not have run. */
    void record_call_end(const call_record& call);
    /** A target ran the request with \p key. */
    void record_run(const std::string& key);
    /** \p node reported that \p version is in force there. */
    void record_version(const std::string& node, std::uint64_t version);
    /** The edit with id \p edit was acknowledged as \p version. */
    void record_accepted_edit(const std::string& edit, std::uint64_t version);
    /** The table read at the end of the run is \p version. */
    void record_final_version(std::uint64_t version);

    /** Returns one line of text for each violation. */
    [[nodiscard]] auto violations() const -> std::vector<std::string>;
    [[nodiscard]] auto counts() const -> observation_counts;
    /** Returns the newest acknowledged version, or 0. */
    [[nodiscard]] auto newest_accepted() const -> std::uint64_t;

  private:
    struct call_state {
        bool is_repeatable_ = false;
        bool is_refused_not_run_ = false;
    };

    std::map<std::string, call_state> calls_; ///< By key.
    std::map<std::string, unsigned> runs_;    ///< By key.
    std::map<std::string, std::uint64_t> versions_;
    std::map<std::uint64_t, std::string> accepted_; ///< Edit id by version.
    std::vector<std::string> violations_;
    observation_counts counts_;
    std::uint64_t final_version_ = 0;
};

} // namespace sycamorewinch
