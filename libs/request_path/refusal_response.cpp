#include "request_path/refusal_response.h"

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr unsigned unauthorized_status = 401;
constexpr unsigned too_many_requests_status = 429;
constexpr unsigned bad_gateway_status = 502;
constexpr unsigned unavailable_status = 503;

/** Returns the value of Retry-After in seconds, with decimals if the refusal states a delay; empty
 * if a retry would not help. */
auto retry_after_seconds(const refusal& refusal) -> std::string
{
    constexpr double milliseconds_in_second = 1000;
    const auto default_seconds = describe(refusal.reason_).retry_after_seconds_;
    if (refusal.retry_after_.count() > 0) {
        const auto milliseconds = static_cast<double>(refusal.retry_after_.count());
        return fmt::format("{:.3f}", milliseconds / milliseconds_in_second);
    }
    return default_seconds > 0 ? std::to_string(default_seconds) : std::string();
}

} // namespace

auto status_of(const refusal& refusal) -> unsigned
{
    const auto default_status = describe(refusal.reason_).status_;
    const bool implies_not_run =
        default_status == too_many_requests_status || default_status == unavailable_status;
    return implies_not_run && refusal.outcome_ != request_outcome::not_run ? bad_gateway_status
                                                                           : default_status;
}

void send_refusal(http1_server_connection& connection, const header_mapping& mapping,
                  const refusal& refusal, std::string_view service)
{
    const auto body = fmt::format(R"({{"refusal":"{}","outcome":"{}","service":"{}"}})"
                                  "\n",
                                  name_of(refusal.reason_), name_of(refusal.outcome_), service);
    message_head head;
    head.status_ = status_of(refusal);
    head.has_body_ = true;
    head.content_length_ = body.size();
    head.headers_ = {{"content-type", "application/json"}};
    if (head.status_ == unauthorized_status) {
        head.headers_.push_back({"www-authenticate", "ApiKey"});
    }
    mapping.write_refusal_(head, refusal);
    if (const auto retry_after = retry_after_seconds(refusal); !retry_after.empty()) {
        head.headers_.push_back({"retry-after", retry_after});
    }
    connection.respond(std::move(head));
    connection.write(body);
    connection.finish();
}

} // namespace sycamorewinch
