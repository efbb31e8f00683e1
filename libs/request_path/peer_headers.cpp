#include "request_path/peer_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace sycamorewinch {

namespace {

constexpr std::string_view service_header = "sycamorewinch-service";
constexpr std::string_view target_header = "sycamorewinch-target";
constexpr std::string_view peer_caller_header = "sycamorewinch-peer-caller";
/** The service that the caller's node runs beside. */
constexpr std::string_view origin_header = "sycamorewinch-origin";
constexpr std::string_view peer_organisation_header = "sycamorewinch-peer-organisation";
constexpr std::string_view time_left_header = "sycamorewinch-time-left-ms";
/** The latency budget: the time left until the target latency of the row is exceeded. */
constexpr std::string_view latency_budget_header = "sycamorewinch-time-in-aim-ms";
constexpr std::string_view last_choice_header = "sycamorewinch-last-choice";
constexpr std::string_view priority_header = "sycamorewinch-priority";
/** Set if the request may run more than once, by the setting of its row. */
constexpr std::string_view repeatable_header = "sycamorewinch-repeatable";
/** What the sender was told of the target's stated rate, in thousandths of a request per second. */
constexpr std::string_view known_rate_limit_header = "sycamorewinch-known-rate-limit";
/** Set for a further attempt of a call and for a call marked with retry_header. */
constexpr std::string_view peer_retry_header = "sycamorewinch-peer-retry";
/** Set for an attempt after another one of its call at the same target. */
constexpr std::string_view repeats_at_target_header = "sycamorewinch-repeats-at-target";
/** Whether the target has or may have received the request, which is assumed without the field. */
constexpr std::string_view reached_target_header = "sycamorewinch-reached-target";
/** In place of the usual authority, which a caller cannot choose, it marks a withdrawal. */
constexpr std::string_view withdrawal_authority = "withdraw.sycamorewinch";
/** Part of the time left that is reserved for a refusal on its way to the caller's node. The time
 * left arrives already reduced by the caller's node, but not by the way to this one. A round trip
 * between zones takes 8 ms; the rest covers delays of busy event loops. */
constexpr std::chrono::milliseconds max_refusal_delay{25};
/** Short calls reserve only this part of their time. */
constexpr int refusal_delay_divisor = 8;
constexpr std::string_view retry_after_header = "sycamorewinch-retry-after-ms";

/** All fields that a node adds to a request for another node. */
constexpr std::array peer_request_headers{
    service_header,          target_header,           peer_caller_header, origin_header,
    time_left_header,        latency_budget_header,   last_choice_header, priority_header,
    repeatable_header,       known_rate_limit_header, peer_retry_header,  peer_organisation_header,
    repeats_at_target_header};

auto parse_number(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t value = 0;
    const auto [end, error_code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error_code != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

void add_field(header_list& headers, std::string_view name, std::string value)
{
    headers.push_back({std::string(name), std::move(value)});
}

/** Returns the fields to forward: all but hop-by-hop fields, pseudo-header fields, and
 * Content-Length, which message_head holds separately. */
auto forwarded_fields(const header_list& headers) -> header_list
{
    header_list forwarded;
    for (const auto& field : headers) {
        if (!field.name_.starts_with(':')) {
            forwarded.push_back(field);
        }
    }
    remove_hop_headers(forwarded);
    remove_header(forwarded, "content-length");
    return forwarded;
}

// Another node reads the first field of a name, so a client could set any of them.
void remove_peer_request_headers(header_list& headers)
{
    for (const auto name : peer_request_headers) {
        remove_header(headers, name);
    }
}

} // namespace

auto to_peer_request(const exchange_request& request) -> header_list
{
    header_list headers{{":method", request.head_.method_},
                        {":scheme", "http"},
                        {":authority", "sycamorewinch"},
                        {":path", request.head_.path_}};
    auto forwarded = forwarded_fields(request.head_.headers_);
    remove_peer_request_headers(forwarded);
    for (auto& field : forwarded) {
        headers.push_back(std::move(field));
    }
    if (request.head_.content_length_) {
        add_field(headers, "content-length", std::to_string(*request.head_.content_length_));
    }
    add_field(headers, service_header, request.service_);
    add_field(headers, target_header, request.target_);
    if (!request.caller_.empty()) {
        add_field(headers, peer_caller_header, request.caller_);
    }
    if (!request.origin_.empty()) {
        add_field(headers, origin_header, request.origin_);
    }
    if (!request.organisation_.empty()) {
        add_field(headers, peer_organisation_header, request.organisation_);
    }
    add_field(headers, time_left_header, std::to_string(request.time_left_.count()));
    add_field(headers, latency_budget_header, std::to_string(request.latency_budget_.count()));
    if (request.is_last_choice_) {
        add_field(headers, last_choice_header, "1");
    }
    add_field(headers, priority_header, std::to_string(request.priority_));
    if (request.repeatable_) {
        add_field(headers, repeatable_header, "1");
    }
    if (request.known_rate_limit_) {
        add_field(headers, known_rate_limit_header, std::to_string(*request.known_rate_limit_));
    }
    if (request.is_retry_) {
        add_field(headers, peer_retry_header, "1");
    }
    if (request.repeats_at_target_) {
        add_field(headers, repeats_at_target_header, "1");
    }
    return headers;
}

void reduce_times_left(header_list& headers, std::chrono::milliseconds elapsed)
{
    const auto reduction = static_cast<std::uint64_t>(std::max<std::int64_t>(elapsed.count(), 0));
    for (auto& field : headers) {
        if (field.name_ == time_left_header || field.name_ == latency_budget_header) {
            const auto value = parse_number(field.value_).value_or(0);
            field.value_ = std::to_string(value - std::min(value, reduction));
        }
    }
}

auto from_peer_request(const header_list& headers, bool ends_stream) -> exchange_request
{
    exchange_request request;
    request.head_.method_ = find_header(headers, ":method");
    request.head_.path_ = find_header(headers, ":path");
    request.head_.has_body_ = !ends_stream;
    request.head_.content_length_ = parse_number(find_header(headers, "content-length"));
    request.service_ = find_header(headers, service_header);
    request.target_ = find_header(headers, target_header);
    request.caller_ = find_header(headers, peer_caller_header);
    request.origin_ = find_header(headers, origin_header);
    request.organisation_ = find_header(headers, peer_organisation_header);
    const auto number_or_zero = [&headers](std::string_view name) {
        return parse_number(find_header(headers, name)).value_or(0);
    };
    request.time_left_ = std::chrono::milliseconds(number_or_zero(time_left_header));
    request.refusal_delay_ =
        std::min(max_refusal_delay, request.time_left_ / refusal_delay_divisor);
    request.latency_budget_ = std::chrono::milliseconds(number_or_zero(latency_budget_header));
    request.is_last_choice_ = !find_header(headers, last_choice_header).empty();
    request.priority_ = static_cast<std::uint32_t>(number_or_zero(priority_header));
    request.repeatable_ = !find_header(headers, repeatable_header).empty();
    if (const auto limit = parse_number(find_header(headers, known_rate_limit_header))) {
        constexpr std::uint64_t largest = std::numeric_limits<std::uint32_t>::max();
        request.known_rate_limit_ = static_cast<std::uint32_t>(std::min(*limit, largest));
    }
    request.is_retry_ = !find_header(headers, peer_retry_header).empty();
    request.repeats_at_target_ = !find_header(headers, repeats_at_target_header).empty();
    request.head_.headers_ = forwarded_fields(headers);
    remove_peer_request_headers(request.head_.headers_);
    return request;
}

auto to_peer_withdrawal(std::int32_t stream) -> header_list
{
    return {{":method", "POST"},
            {":scheme", "http"},
            {":authority", std::string(withdrawal_authority)},
            {":path", "/" + std::to_string(stream)}};
}

auto from_peer_withdrawal(const header_list& headers) -> std::optional<std::int32_t>
{
    const auto path = find_header(headers, ":path");
    if (find_header(headers, ":authority") != withdrawal_authority || path.empty()) {
        return std::nullopt;
    }
    constexpr auto max_stream = std::numeric_limits<std::int32_t>::max();
    const auto stream = parse_number(path.substr(1)).value_or(0);
    return stream > max_stream ? 0 : static_cast<std::int32_t>(stream);
}

auto to_peer_response(const message_head& head) -> header_list
{
    header_list headers{{":status", std::to_string(head.status_)}};
    for (auto& field : forwarded_fields(head.headers_)) {
        headers.push_back(std::move(field));
    }
    remove_system_headers(headers);
    if (head.content_length_) {
        add_field(headers, "content-length", std::to_string(*head.content_length_));
    }
    return headers;
}

auto to_peer_refusal(const refusal& refusal) -> header_list
{
    return {{":status", std::to_string(describe(refusal.reason_).status_)},
            {std::string(refusal_header), std::string(name_of(refusal.reason_))},
            {std::string(outcome_header), std::string(name_of(refusal.outcome_))},
            {std::string(reached_target_header), refusal.reached_target_ ? "1" : "0"},
            {std::string(retry_after_header), std::to_string(refusal.retry_after_.count())}};
}

auto from_peer_refusal(const header_list& headers) -> std::optional<refusal>
{
    const auto reason = parse_refusal_reason(find_header(headers, refusal_header));
    if (!reason) {
        return std::nullopt;
    }
    const auto retry_after = parse_number(find_header(headers, retry_after_header)).value_or(0);
    return refusal{*reason, parse_request_outcome(find_header(headers, outcome_header)),
                   find_header(headers, reached_target_header) != "0",
                   std::chrono::milliseconds(retry_after)};
}

auto from_peer_response(const header_list& headers, bool ends_stream) -> message_head
{
    message_head head;
    head.status_ = static_cast<unsigned>(parse_number(find_header(headers, ":status")).value_or(0));
    head.content_length_ = parse_number(find_header(headers, "content-length"));
    head.has_body_ = !ends_stream;
    head.headers_ = forwarded_fields(headers);
    remove_header(head.headers_, target_status_header);
    return head;
}

void remove_system_headers(header_list& headers)
{
    remove_header(headers, refusal_header);
    remove_header(headers, outcome_header);
    remove_header(headers, target_status_header);
}

} // namespace sycamorewinch
