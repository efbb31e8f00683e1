/** \file
 * Records what callers, targets and operators observed during a run, and reports which guarantees
 * of the system the observations violate.
 *
 * A black-box check: it compares responses with what targets ran, versions in force with those seen
 * before, and the table read at the end with the edits that were accepted.
 */
#pragma once

#include <chrono>
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
    std::uint64_t unknown_ = 0;   ///< Calls that ended in any other way.
    std::uint64_t timed_out_ = 0; ///< Calls that ended with status 504.
    std::uint64_t runs_ = 0;
    std::uint64_t versions_seen_ = 0;
    std::uint64_t edits_accepted_ = 0;
};

/** A call as its caller sent it. */
struct sent_call {
    std::string key_;
    bool is_repeatable_ = false;                ///< Its row allows it to be run more than once.
    std::chrono::milliseconds time_allowed_{0}; ///< At least this long until its deadline.
};

/** Whether a call's node and the link to it worked from the start of the call to its end. A node
 * that was asked to exit works. */
enum class caller_path : std::uint8_t { worked, failed };

/** Collects observations and checks them. */
class guarantee_checker {
  public:
    /** A call began. */
    void record_call_start(const sent_call& call);
    /** The call ended. One that never ends may or may not have run. */
    void record_call_end(const call_record& call, caller_path path);
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
    void check_response(const call_record& call);

    struct call_state {
        bool is_repeatable_ = false;
        bool is_refused_not_run_ = false;
        bool is_dropped_ = false; ///< Ended without a response though its caller_path worked.
        std::chrono::milliseconds time_allowed_{0};
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
