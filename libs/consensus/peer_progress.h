/** \file
 * What a leader knows of one other replica, and how much it may send there without an answer.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "base/time.h"
#include "consensus/log_entry.h"

namespace sycamorewinch {

/** Progress of one follower. */
struct peer_progress {
    /** One append that was sent and not answered. */
    struct flight {
        std::uint64_t last_index_ = 0;
        std::size_t bytes_ = 0;
    };

    std::uint64_t next_ = 1;  ///< First entry to send.
    std::uint64_t match_ = 0; ///< Last entry known stored there.
    std::uint64_t round_ = 0; ///< Latest heartbeat round echoed.
    instant heard_{};         ///< Last reply.
    bool counts_ = true;      ///< False while the replica recovers from a lost disk.
    bool is_voter_ = true;    ///< False for a learner.
    bool is_probing_ = true;  ///< Where the logs agree is not known: one append at a time.
    bool probe_is_sent_ = false;
    std::deque<flight> flights_;
    std::size_t bytes_in_flight_ = 0;
    std::shared_ptr<const log_snapshot> snapshot_; ///< Being sent; null for none.
    std::uint64_t snapshot_offset_ = 0;            ///< Bytes of it known to have arrived.

    /** Returns whether it is counted in a quorum now. */
    [[nodiscard]] auto is_counted() const -> bool { return counts_ && is_voter_; }

    /** Notes that entries up to \p last_index were sent. */
    void on_sent(std::uint64_t last_index, std::size_t bytes)
    {
        if (is_probing_) {
            probe_is_sent_ = true;
            return;
        }
        next_ = last_index + 1;
        flights_.push_back({last_index, bytes});
        bytes_in_flight_ += bytes;
    }

    /** Notes a reply. One that recovers from a lost disk proves nothing of what it did before. */
    void on_reply(bool is_recovering, std::uint64_t round, instant now)
    {
        counts_ = !is_recovering;
        if (is_recovering) {
            match_ = 0;
            return;
        }
        heard_ = now;
        round_ = std::max(round_, round);
    }

    /** Notes that entries up to \p index are stored there. */
    void on_stored(std::uint64_t index)
    {
        match_ = std::max(match_, index);
        next_ = std::max(next_, match_ + 1);
        is_probing_ = false;
        while (!flights_.empty() && flights_.front().last_index_ <= match_) {
            bytes_in_flight_ -= flights_.front().bytes_;
            flights_.pop_front();
        }
    }

    /** Notes that the logs agree at \p index at most. */
    void on_rejected(std::uint64_t index)
    {
        next_ = index + 1;
        is_probing_ = true;
        probe_is_sent_ = false;
        flights_.clear();
        bytes_in_flight_ = 0;
    }
};

} // namespace sycamorewinch
