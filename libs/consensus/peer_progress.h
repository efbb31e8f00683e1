/** \file
 * A leader's view of one other replica: its replication progress and the appends in flight to it.
 *
 * Two modes, as in other Raft implementations: while probing, the leader sends one append at a time
 * to find the point up to which the logs agree; afterwards it pipelines appends and tracks the
 * bytes that are in flight.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "base/time.h"
#include "consensus/log_entry.h"

namespace sycamorewinch {

/** Replication progress of one follower or learner. */
struct peer_progress {
    /** One append that was sent and not yet acknowledged. */
    struct in_flight_append {
        std::uint64_t last_index_ = 0;
        std::size_t bytes_ = 0;
    };

    std::uint64_t next_index_ = 1;  ///< Index of the next entry to send.
    std::uint64_t match_index_ = 0; ///< Highest entry known to be stored on the peer.
    std::uint64_t round_ = 0;       ///< Latest heartbeat round that the peer echoed.
    instant last_reply_at_{};       ///< Time of the last reply.
    bool is_recovered_ = true;      ///< False while the peer recovers from a lost disk.
    bool is_voter_ = true;          ///< False for a learner.
    bool is_probing_ = true;        ///< Probing: one append at a time until the logs agree.
    bool probe_in_flight_ = false;
    std::deque<in_flight_append> in_flight_appends_;
    std::size_t bytes_in_flight_ = 0;
    std::shared_ptr<const log_snapshot> snapshot_; ///< Snapshot being sent; null for none.
    std::uint64_t snapshot_offset_ = 0;            ///< Bytes of it known to be received.

    /** Returns whether the peer has replied to a heartbeat of this leader. Until then,
     * last_reply_at_ is the time at which the leader began to wait for one. */
    [[nodiscard]] auto has_replied() const -> bool { return round_ > 0; }

    /** Returns whether the peer currently counts toward a quorum. */
    [[nodiscard]] auto counts_toward_quorum() const -> bool { return is_recovered_ && is_voter_; }

    /** Records that entries up to \p last_index were sent, \p bytes in all. */
    void record_sent(std::uint64_t last_index, std::size_t bytes)
    {
        if (is_probing_) {
            probe_in_flight_ = true;
            return;
        }
        next_index_ = last_index + 1;
        in_flight_appends_.push_back({last_index, bytes});
        bytes_in_flight_ += bytes;
    }

    /** Records a reply. A peer that recovers from a lost disk may no longer hold what it
     * acknowledged before, so its match index is reset and the reply confirms no round. */
    void record_reply(bool is_recovering, std::uint64_t round, instant now)
    {
        is_recovered_ = !is_recovering;
        if (is_recovering) {
            match_index_ = 0;
            return;
        }
        last_reply_at_ = now;
        round_ = std::max(round_, round);
    }

    /** Records that the peer stores entries up to \p index, and ends probing. */
    void record_stored(std::uint64_t index)
    {
        match_index_ = std::max(match_index_, index);
        next_index_ = std::max(next_index_, match_index_ + 1);
        is_probing_ = false;
        while (!in_flight_appends_.empty() &&
               in_flight_appends_.front().last_index_ <= match_index_) {
            bytes_in_flight_ -= in_flight_appends_.front().bytes_;
            in_flight_appends_.pop_front();
        }
    }

    /** Records that the logs agree up to \p index at most, and returns to probing. */
    void record_rejected(std::uint64_t index)
    {
        next_index_ = index + 1;
        is_probing_ = true;
        probe_in_flight_ = false;
        in_flight_appends_.clear();
        bytes_in_flight_ = 0;
    }
};

} // namespace sycamorewinch
