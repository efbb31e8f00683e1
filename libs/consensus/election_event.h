/** \file
 * What a replica decides about elections, for logs and metrics.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorewinch {

/** The kind of an election event. */
enum class election_event_kind : std::uint8_t {
    leader_silent,    ///< No append arrived within the election timeout; the peer led.
    standing,         ///< This replica stands for election in the term.
    elected,          ///< It leads the term.
    following,        ///< It follows the peer, which leads the term.
    lease_expired,    ///< It no longer leads, as no quorum has answered within one lease.
    handed_over,      ///< It no longer leads and has asked the peer to stand for election.
    vote_granted,     ///< It has voted for the peer.
    vote_refused,     ///< It has refused the peer its vote.
    pre_vote_refused, ///< It has told the peer that it would refuse its vote.
};

/** Returns the name of \p kind for logs. */
[[nodiscard]] auto name_of(election_event_kind kind) -> std::string_view;

/** Why a replica refuses its vote. */
enum class vote_refusal : std::uint8_t {
    none,
    recovering,   ///< It has lost its disk and has not caught up.
    storing_vote, ///< Its vote in an election that is under way is not durable yet.
    standing,     ///< It stands for election itself, and may still win.
    old_term,     ///< The candidate's term is not newer than this replica's.
    leader_alive, ///< A leader was heard from within one lease.
    voted,        ///< It has voted for another candidate in this term.
    log_behind,   ///< The candidate's log may lack committed entries.
};

/** Returns the name of \p reason for logs and metrics. */
[[nodiscard]] auto name_of(vote_refusal reason) -> std::string_view;

/** One event. */
struct election_event {
    election_event_kind kind_ = election_event_kind::standing;
    std::uint64_t term_ = 0; ///< The term that the event is about.
    std::string peer_;       ///< Name of the other replica; may be empty.
    vote_refusal reason_ = vote_refusal::none;
};

} // namespace sycamorewinch
