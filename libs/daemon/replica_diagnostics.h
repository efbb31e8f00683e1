/** \file
 * What a control process logs and counts of its replica: elections, and the time of its writes.
 */
#pragma once

#include "base/time.h"
#include "consensus/raft.h"
#include "observability/metrics.h"

namespace sycamorewinch {

/** Logs the events of one replica and counts them. */
class replica_diagnostics {
  public:
    explicit replica_diagnostics(metrics_registry& metrics);

    /** Logs \p event, of the replica whose state is \p raft, and counts a refused vote by reason.
     */
    void on_election(const election_event& event, const raft& raft);

    /** Counts a write that was durable after \p time, and logs it if it was slow. */
    void on_write(duration time);

  private:
    metrics_registry& metrics_;
    histogram& write_times_;
};

} // namespace sycamorewinch
