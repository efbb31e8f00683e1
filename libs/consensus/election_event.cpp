#include "consensus/election_event.h"

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<election_event_kind, 9> event_names{
    {"leader_silent", "standing", "elected", "following", "lease_expired", "handed_over",
     "vote_granted", "vote_refused", "pre_vote_refused"}};

constexpr enum_names<vote_refusal, 8> refusal_names{{"none", "recovering", "storing_vote",
                                                     "standing", "old_term", "leader_alive",
                                                     "voted", "log_behind"}};

} // namespace

auto name_of(election_event_kind kind) -> std::string_view
{
    return event_names.name(kind);
}

auto name_of(vote_refusal reason) -> std::string_view
{
    return refusal_names.name(reason);
}

} // namespace sycamorewinch
