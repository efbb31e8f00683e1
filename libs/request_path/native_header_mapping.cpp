#include "request_path/header_mapping.h"
#include "request_path/peer_headers.h"
#include "request_path/time_allowed.h"

namespace sycamorewinch {

namespace {

constexpr std::string_view default_caller = "anonymous";

auto read_metadata(const message_head& request) -> call_metadata
{
    const auto caller = find_header(request.headers_, caller_header);
    return {std::string(find_header(request.headers_, "host")),
            std::string(caller.empty() ? default_caller : caller),
            {},
            {},
            read_api_key(request.headers_, api_key_header),
            parse_time_allowed(find_header(request.headers_, deadline_header)),
            !find_header(request.headers_, retry_header).empty()};
}

void remove_identity_headers(header_list& fields)
{
    remove_header_spellings(fields, api_key_header);
    remove_header_spellings(fields, organisation_header);
}

// A target passes the deadline and the retry mark on when it makes calls itself.
void write_target_headers(header_list& fields, const exchange_request& request)
{
    set_header(fields, deadline_header, std::to_string(request.time_left_.count()));
    if (request.is_retry_) {
        set_header(fields, retry_header, "1");
    }
    if (!request.organisation_.empty()) {
        set_header(fields, organisation_header, request.organisation_);
    }
}

void write_refusal(message_head& response, const refusal& refusal)
{
    response.headers_.push_back(
        {std::string(refusal_header), std::string(name_of(refusal.reason_))});
    response.headers_.push_back(
        {std::string(outcome_header), std::string(name_of(refusal.outcome_))});
}

} // namespace

auto native_header_mapping() -> header_mapping
{
    return {read_metadata,
            remove_identity_headers,
            write_target_headers,
            [](const exchange_request&, const message_head&) { return response_kind::genuine; },
            [](const message_head& response) {
                return read_target_notice(response.headers_, target_limit_header,
                                          target_leaving_header);
            },
            remove_system_headers,
            write_refusal};
}

} // namespace sycamorewinch
