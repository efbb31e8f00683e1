#include "http1/http1_parser.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>
#include <variant>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using boost_error = boost::system::error_code;

auto lower(beast::string_view text) -> std::string
{
    std::string out(text.data(), text.size());
    std::ranges::transform(out, out.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return out;
}

auto to_string(beast::string_view text) -> std::string
{
    return {text.data(), text.size()};
}

/** Hands Beast's callbacks on as events. */
template <bool IsRequest>
class event_parser final : public http::basic_parser<IsRequest> {
  public:
    event_parser(http1_limits limits, http1_events events) : events_(std::move(events))
    {
        this->header_limit(limits.header_bytes_);
        this->body_limit(limits.body_bytes_);
        this->eager(true);
    }

  private:
    void on_request_impl(http::verb, beast::string_view method, beast::string_view target, int,
                         boost_error&) override
    {
        head_.method_ = to_string(method);
        head_.path_ = to_string(target);
    }

    void on_response_impl(int code, beast::string_view, int, boost_error&) override
    {
        head_.status_ = static_cast<unsigned>(code);
    }

    void on_field_impl(http::field, beast::string_view name, beast::string_view value,
                       boost_error&) override
    {
        head_.headers_.push_back({lower(name), to_string(value)});
    }

    void on_header_impl(boost_error&) override
    {
        const auto length = this->content_length();
        if (length) {
            head_.content_length_ = *length;
        }
        head_.has_body_ = this->chunked() || length.value_or(0) > 0 || this->need_eof();
        head_.keep_alive_ = this->keep_alive();
        events_.on_head_(std::move(head_));
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, boost_error&) override {}

    auto on_body_impl(beast::string_view body, boost_error&) -> std::size_t override
    {
        events_.on_body_({body.data(), body.size()});
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, boost_error&) override {}

    auto on_chunk_body_impl(std::uint64_t, beast::string_view body, boost_error&)
        -> std::size_t override
    {
        events_.on_body_({body.data(), body.size()});
        return body.size();
    }

    void on_finish_impl(boost_error&) override { events_.on_end_(); }

    http1_events events_;
    message_head head_;
};

constexpr std::array<std::string_view, 9> hop_headers{
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "proxy-connection"};

auto problem_of(const boost_error& code) -> http1_problem
{
    if (code == http::error::header_limit) {
        return http1_problem::header_too_large;
    }
    if (code == http::error::body_limit) {
        return http1_problem::body_too_large;
    }
    if (code == http::error::partial_message || code == http::error::end_of_stream) {
        return http1_problem::cut_short;
    }
    return http1_problem::malformed;
}

} // namespace

struct http1_parser::state {
    std::unique_ptr<event_parser<true>> request_;
    std::unique_ptr<event_parser<false>> response_;
    http1_problem problem_ = http1_problem::none;

    template <typename Action>
    auto with(Action action)
    {
        return request_ ? action(*request_) : action(*response_);
    }
};

http1_parser::http1_parser(std::unique_ptr<state> state) : state_(std::move(state)) {}
http1_parser::http1_parser(http1_parser&&) noexcept = default;
auto http1_parser::operator=(http1_parser&&) noexcept -> http1_parser& = default;
http1_parser::~http1_parser() = default;

auto http1_parser::for_request(http1_limits limits, http1_events events) -> http1_parser
{
    auto made = std::make_unique<state>();
    made->request_ = std::make_unique<event_parser<true>>(limits, std::move(events));
    return http1_parser(std::move(made));
}

auto http1_parser::for_response(std::string_view method, http1_limits limits, http1_events events)
    -> http1_parser
{
    auto made = std::make_unique<state>();
    made->response_ = std::make_unique<event_parser<false>>(limits, std::move(events));
    made->response_->skip(method == "HEAD");
    return http1_parser(std::move(made));
}

auto http1_parser::feed(std::string_view bytes) -> std::size_t
{
    if (problem() != http1_problem::none || is_done() || bytes.empty()) {
        return 0;
    }
    boost_error code;
    const auto used = state_->with([&](auto& parser) {
        return parser.put(boost::asio::buffer(bytes.data(), bytes.size()), code);
    });
    if (code && code != http::error::need_more) {
        state_->problem_ = problem_of(code);
    }
    return used;
}

void http1_parser::feed_end()
{
    if (problem() != http1_problem::none || is_done()) {
        return;
    }
    boost_error code;
    state_->with([&](auto& parser) { parser.put_eof(code); });
    if (code) {
        state_->problem_ = problem_of(code);
    }
}

auto http1_parser::is_done() const -> bool
{
    return state_->with([](const auto& parser) { return parser.is_done(); });
}

auto http1_parser::has_started() const -> bool
{
    return state_->with([](const auto& parser) { return parser.got_some(); });
}

auto http1_parser::problem() const -> http1_problem
{
    return state_->problem_;
}

namespace {

void append_headers(std::string& out, const header_list& headers)
{
    for (const auto& field : headers) {
        out += fmt::format("{}: {}\r\n", field.name_, field.value_);
    }
    out += "\r\n";
}

} // namespace

auto write_request_head(const message_head& head) -> std::string
{
    auto out = fmt::format("{} {} HTTP/1.1\r\n", head.method_, head.path_);
    append_headers(out, head.headers_);
    return out;
}

auto write_response_head(const message_head& head) -> std::string
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(head.status_));
    auto out = fmt::format("HTTP/1.1 {} {}\r\n", head.status_, to_string(reason));
    append_headers(out, head.headers_);
    return out;
}

auto write_chunk(std::string_view bytes) -> std::string
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

void remove_hop_headers(header_list& headers)
{
    std::string named;
    for (const auto& field : headers) {
        if (field.name_ == "connection") {
            named += "," + lower(field.value_);
        }
    }
    std::erase_if(headers, [&named](const auto& field) {
        const auto listed = std::ranges::find(hop_headers, field.name_) != hop_headers.end();
        return listed || named.find(field.name_) != std::string::npos;
    });
}

} // namespace sycamorewinch
