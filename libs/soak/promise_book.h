/** \file
 * What callers, targets and operators saw during a run, and which promises that breaks.
 *
 * It knows nothing of how the system works: it compares answers with what targets ran, versions in
 * force with those seen before, and the table read at the end with the edits that were accepted.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "standin/load_maker.h"

namespace sycamorewinch {

/** How much a run saw, for its account. */
struct promise_counts {
    std::uint64_t calls_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_not_run_ = 0;
    std::uint64_t unknown_ = 0; ///< Ended otherwise.
    std::uint64_t runs_ = 0;
    std::uint64_t versions_seen_ = 0;
    std::uint64_t edits_accepted_ = 0;
};

/** Collects what was seen. */
class promise_book {
  public:
    /** A call began, of a row that may be repeated or not. */
    void note_begin(const std::string& key, bool is_repeatable);
    /** It ended. One that never does may have run. */
    void note_end(const call_record& call);
    /** A target ran the request with \p key. */
    void note_run(const std::string& key);
    /** \p node said that \p version is in force there. */
    void note_version(const std::string& node, std::uint64_t version);
    /** The edit called \p edit was acknowledged as \p version. */
    void note_accepted(const std::string& edit, std::uint64_t version);
    /** The table read at the end of the run is \p version. */
    void note_last_read(std::uint64_t version);

    /** Returns a line for each promise that was broken. */
    [[nodiscard]] auto broken() const -> std::vector<std::string>;
    [[nodiscard]] auto counts() const -> promise_counts;
    /** Returns the newest version that was acknowledged. */
    [[nodiscard]] auto newest_accepted() const -> std::uint64_t;

  private:
    struct call_account {
        bool is_repeatable_ = false;
        bool is_refused_not_run_ = false;
    };

    std::map<std::string, call_account> calls_; ///< By key.
    std::map<std::string, unsigned> runs_;      ///< By key.
    std::map<std::string, std::uint64_t> versions_;
    std::map<std::uint64_t, std::string> accepted_; ///< Edit by version.
    std::vector<std::string> broken_;
    promise_counts counts_;
    std::uint64_t last_read_ = 0;
};

} // namespace sycamorewinch
