#include "policy/refusal.h"

#include <algorithm>
#include <array>

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

using enum request_outcome;

constexpr std::array<refusal_description, refusal_reason_count> descriptions{{
    {"no_route", 404, 0, not_run},
    {"table_not_proved", 503, 1, not_run},
    {"no_target", 503, 1, not_run},
    {"target_draining", 503, 1, not_run},
    {"target_full", 503, 1, not_run},
    {"target_rate_limited", 503, 1, not_run},
    {"rate_limited", 429, 1, not_run},
    {"concurrency_limited", 429, 1, not_run},
    {"target_unreachable", 503, 1, not_run},
    {"target_failed", 502, 0, unknown},
    {"deadline_passed", 504, 0, unknown},
    {"bad_request", 400, 0, not_run},
    {"header_too_large", 431, 0, not_run},
    {"body_too_large", 413, 0, unknown},
    {"shutting_down", 503, 1, not_run},
    {"overloaded", 503, 2, not_run},
    {"record_unreachable", 503, 1, not_run},
    {"record_full", 503, 60, not_run},
    {"run_in_progress", 409, 1, unknown},
    {"run_outcome_unknown", 409, 0, unknown},
    {"run_outcome_dropped", 409, 0, ran},
    {"key_reused", 422, 0, not_run},
    {"request_crashes_targets", 422, 0, unknown},
    {"not_started_in_time", 503, 1, not_run},
    {"unknown_api_key", 401, 0, not_run},
    {"quota_exceeded", 429, 1, not_run},
    {"quota_unavailable", 503, 1, not_run},
}};

constexpr enum_names<request_outcome, 3> outcome_names{{"not-run", "unknown", "ran"}};

} // namespace

auto describe(refusal_reason reason) -> const refusal_description&
{
    return descriptions.at(static_cast<std::size_t>(reason));
}

auto is_lack_of_room(refusal_reason reason) -> bool
{
    return reason == refusal_reason::target_full || reason == refusal_reason::target_rate_limited;
}

auto name_of(refusal_reason reason) -> std::string_view
{
    return describe(reason).name_;
}

auto parse_refusal_reason(std::string_view name) -> std::optional<refusal_reason>
{
    const auto found = std::ranges::find(descriptions, name, &refusal_description::name_);
    if (found == descriptions.end()) {
        return std::nullopt;
    }
    return static_cast<refusal_reason>(found - descriptions.begin());
}

auto name_of(request_outcome outcome) -> std::string_view
{
    return outcome_names.name(outcome);
}

auto parse_request_outcome(std::string_view name) -> request_outcome
{
    return outcome_names.parse(name).value_or(unknown);
}

} // namespace sycamorewinch
