#include "request_path/peer_headers.h"

#include <charconv>

namespace sycamorewinch {

namespace {

constexpr std::string_view service_header = "sycamorewinch-service";
constexpr std::string_view target_header = "sycamorewinch-target";
constexpr std::string_view peer_caller_header = "sycamorewinch-peer-caller";
constexpr std::string_view time_left_header = "sycamorewinch-time-left-ms";

auto parse_count(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t value = 0;
    const auto [stop, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || problem != std::errc() || stop != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

void put(header_list& headers, std::string_view name, std::string value)
{
    headers.push_back({std::string(name), std::move(value)});
}

/** Copies the ordinary fields, without those of one hop and the pseudo fields. */
auto ordinary_fields(const header_list& headers) -> header_list
{
    header_list kept;
    for (const auto& field : headers) {
        if (!field.name_.starts_with(':')) {
            kept.push_back(field);
        }
    }
    remove_hop_headers(kept);
    remove_header(kept, "content-length");
    return kept;
}

} // namespace

auto to_peer_headers(const exchange_request& request) -> header_list
{
    header_list headers{{":method", request.head_.method_},
                        {":scheme", "http"},
                        {":authority", "sycamorewinch"},
                        {":path", request.head_.path_}};
    for (auto& field : ordinary_fields(request.head_.headers_)) {
        headers.push_back(std::move(field));
    }
    if (request.head_.content_length_) {
        put(headers, "content-length", std::to_string(*request.head_.content_length_));
    }
    put(headers, service_header, request.service_);
    put(headers, target_header, request.target_);
    put(headers, peer_caller_header, request.caller_);
    put(headers, time_left_header, std::to_string(request.time_left_.count()));
    return headers;
}

auto from_peer_headers(const header_list& headers, bool last) -> exchange_request
{
    exchange_request request;
    request.head_.method_ = find_header(headers, ":method");
    request.head_.path_ = find_header(headers, ":path");
    request.head_.has_body_ = !last;
    request.head_.content_length_ = parse_count(find_header(headers, "content-length"));
    request.service_ = find_header(headers, service_header);
    request.target_ = find_header(headers, target_header);
    request.caller_ = find_header(headers, peer_caller_header);
    const auto time_left = parse_count(find_header(headers, time_left_header)).value_or(0);
    request.time_left_ = std::chrono::milliseconds(time_left);
    request.head_.headers_ = ordinary_fields(headers);
    for (const auto name : {service_header, target_header, peer_caller_header, time_left_header}) {
        remove_header(request.head_.headers_, name);
    }
    return request;
}

auto to_peer_response(const message_head& head) -> header_list
{
    header_list headers{{":status", std::to_string(head.status_)}};
    for (auto& field : ordinary_fields(head.headers_)) {
        headers.push_back(std::move(field));
    }
    remove_system_headers(headers);
    if (head.content_length_) {
        put(headers, "content-length", std::to_string(*head.content_length_));
    }
    return headers;
}

auto to_peer_refusal(const refusal& refusal) -> header_list
{
    return {{":status", std::to_string(describe(refusal.reason_).status_)},
            {std::string(refusal_header), std::string(name_of(refusal.reason_))},
            {std::string(outcome_header), std::string(name_of(refusal.outcome_))}};
}

auto from_peer_response(const header_list& headers, bool last) -> message_head
{
    message_head head;
    head.status_ = static_cast<unsigned>(parse_count(find_header(headers, ":status")).value_or(0));
    head.content_length_ = parse_count(find_header(headers, "content-length"));
    head.has_body_ = !last;
    head.headers_ = ordinary_fields(headers);
    return head;
}

void remove_system_headers(header_list& headers)
{
    remove_header(headers, refusal_header);
    remove_header(headers, outcome_header);
}

} // namespace sycamorewinch
