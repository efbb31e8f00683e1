#include "policy/refusal.h"

#include <algorithm>
#include <array>

namespace sycamorewinch {

namespace {

using enum request_outcome;

constexpr std::array<refusal_description, refusal_reason_count> descriptions{{
    {"no_route", 404, 0, not_run},
    {"table_not_proved", 503, 1, not_run},
    {"no_target", 503, 1, not_run},
    {"target_draining", 503, 1, not_run},
    {"target_full", 503, 1, not_run},
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
}};

} // namespace

auto describe(refusal_reason reason) -> const refusal_description&
{
    return descriptions.at(static_cast<std::size_t>(reason));
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
    return outcome == not_run ? "not-run" : "unknown";
}

} // namespace sycamorewinch
