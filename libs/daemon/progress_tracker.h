/** \file
 * Tracks the distribution progress that the other control replicas report for the nodes below them.
 *
 * Does no I/O. When a replica fails or falls silent, its subscribers move to other replicas and are
 * counted there. Its last report is included until they have had time to move, so that they are
 * counted throughout; after that it is ignored, since an outdated report would hold back the merged
 * progress for ever.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "distribution/distribution_message.h"

namespace sycamorewinch {

/** How often a replica checks whether it has progress to report to the leader. */
constexpr auto progress_report_period = std::chrono::milliseconds(500);
/** A replica counts as silent when no report has arrived for this long. */
constexpr auto replica_report_timeout = std::chrono::milliseconds(6'000);
/** How long the last report of a replica is still included after its connection ended. */
constexpr auto disconnected_replica_grace_period = std::chrono::milliseconds(2'000);

/** The latest report of each other replica. */
class progress_tracker {
  public:
    /** Stores the report of replica \p from on the nodes below it. */
    void on_report(const std::string& from, std::vector<zone_progress> zones, instant now);

    /** The connection to \p name ended. */
    void on_disconnected(const std::string& name, instant now);

    /** Returns \p own merged with the reports that have not expired. */
    [[nodiscard]] auto merge_with_reports(std::vector<zone_progress> own, instant now) const
        -> std::vector<zone_progress>;

    /** Returns the names of the replicas whose reports have expired. */
    [[nodiscard]] auto silent_replicas(instant now) const -> std::vector<std::string>;

  private:
    struct entry {
        std::vector<zone_progress> zones_;
        instant valid_until_;
    };

    std::map<std::string, entry> entries_;
};

} // namespace sycamorewinch
