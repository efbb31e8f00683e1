#include "request_path/refusal_answer.h"

#include <fmt/core.h>

#include "request_path/peer_headers.h"

namespace sycamorewinch {

void answer_refusal(http1_server_connection& connection, const refusal& refusal,
                    std::string_view service)
{
    const auto& description = describe(refusal.reason_);
    const auto body = fmt::format(R"({{"refusal":"{}","outcome":"{}","service":"{}"}})"
                                  "\n",
                                  description.name_, name_of(refusal.outcome_), service);
    message_head head;
    head.status_ = description.status_;
    head.has_body_ = true;
    head.content_length_ = body.size();
    head.headers_ = {{"content-type", "application/json"},
                     {std::string(refusal_header), std::string(description.name_)},
                     {std::string(outcome_header), std::string(name_of(refusal.outcome_))}};
    if (description.retry_after_seconds_ > 0) {
        head.headers_.push_back({"retry-after", std::to_string(description.retry_after_seconds_)});
    }
    connection.respond(std::move(head));
    connection.write(body);
    connection.finish();
}

} // namespace sycamorewinch
