#include "daemon/replica_diagnostics.h"

#include "observability/log.h"

namespace sycamorewinch {

namespace {

/** Longer writes slow down elections and edits noticeably, and are logged. */
constexpr duration slow_write_threshold = std::chrono::milliseconds(250);

} // namespace

replica_diagnostics::replica_diagnostics(metrics_registry& metrics)
    : metrics_(metrics),
      write_times_(metrics.seconds(
          "sycamorewinch_disk_write_seconds",
          "Time that writes of votes, log entries and snapshots took until they were durable."))
{
}

void replica_diagnostics::on_election(const election_event& event, const raft& raft)
{
    if (event.reason_ != vote_refusal::none) {
        metrics_
            .count("sycamorewinch_refused_votes_total",
                   "Votes and pre-votes refused to other control replicas, by reason.",
                   {{"kind", name_of(event.kind_)}, {"reason", name_of(event.reason_)}})
            .add();
    }
    // Pre-votes are repeated several times a second while there is no leader.
    const auto level =
        event.kind_ == election_event_kind::pre_vote_refused ? log_level::debug : log_level::info;
    log_event(level, "election",
              {{"kind", name_of(event.kind_)},
               {"term", event.term_},
               {"peer", event.peer_},
               {"reason", name_of(event.reason_)},
               {"last_index", raft.last_index()},
               {"commit_index", raft.commit_index()}});
}

void replica_diagnostics::on_write(duration time)
{
    write_times_.record(std::chrono::duration<double>(time).count());
    if (time >= slow_write_threshold) {
        log_event(log_level::warning, "slow_disk_write", {{"ms", to_milliseconds(time)}});
    }
}

} // namespace sycamorewinch
