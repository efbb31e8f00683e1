#include "http1/http1_parser.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>
#include <vector>

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
    std::ranges::transform(out, out.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return out;
}

auto to_string(beast::string_view text) -> std::string
{
    return {text.data(), text.size()};
}

constexpr int http_1_1 = 11;

/** Returns the path and query of an absolute http URL; any other request target is unchanged. */
auto to_origin_form(std::string_view target) -> std::string
{
    constexpr std::string_view scheme = "http://";
    if (lower({target.data(), std::min(target.size(), scheme.size())}) != scheme) {
        return std::string(target);
    }
    const auto path = target.find_first_of("/?", scheme.size());
    if (path == std::string_view::npos) {
        return "/";
    }
    return (target[path] == '?' ? "/" : "") + std::string(target.substr(path));
}

/** Returns the `timeout` parameter of a Keep-Alive field. */
auto keep_alive_time_of(std::string_view field) -> std::optional<std::chrono::seconds>
{
    constexpr std::string_view name = "timeout=";
    const auto start = field.find(name);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    field.remove_prefix(start + name.size());
    std::uint32_t seconds = 0;
    const auto [stop, code] = std::from_chars(field.data(), field.data() + field.size(), seconds);
    return code == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

/** Passes Beast's callbacks on to the hooks. */
template <bool IsRequest>
class beast_parser final : public http::basic_parser<IsRequest> {
  public:
    beast_parser(http1_limits limits, http1_parser_hooks hooks) : hooks_(std::move(hooks))
    {
        this->header_limit(limits.header_bytes_);
        this->body_limit(limits.body_bytes_);
        this->eager(true);
    }

    /** Passes on the body bytes collected since the last call. */
    void deliver_body()
    {
        if (!body_.empty()) {
            const auto body = std::exchange(body_, {});
            hooks_.on_body_(body);
        }
    }

    /** The response is to a HEAD request: it has no body, whatever its header fields say. */
    void skip_body()
    {
        ignores_body_ = true;
        this->skip(true);
    }

  private:
    void on_request_impl(http::verb, beast::string_view method, beast::string_view target,
                         int version, boost_error& code) override
    {
        head_.method_ = to_string(method);
        head_.path_ = to_origin_form({target.data(), target.size()});
        head_.is_http_1_0_ = version < http_1_1;
        const bool is_server_wide = target == "*" && head_.method_ == "OPTIONS";
        if (head_.method_ == "CONNECT" || (!head_.path_.starts_with('/') && !is_server_wide)) {
            code = http::error::bad_target;
        }
    }

    void on_response_impl(int status, beast::string_view, int, boost_error& code) override
    {
        head_.status_ = static_cast<unsigned>(status);
        if (!is_interim_status(head_.status_) && !is_final_status(head_.status_)) {
            code = http::error::bad_status;
        }
    }

    void on_field_impl(http::field, beast::string_view name, beast::string_view value,
                       boost_error&) override
    {
        head_.headers_.push_back({lower(name), to_string(value)});
    }

    void on_header_impl(boost_error& code) override
    {
        if (!are_fields_unambiguous()) {
            code = http::error::bad_value;
            return;
        }
        const auto length = this->content_length();
        if (length) {
            head_.content_length_ = *length;
        }
        const bool is_bodyless = head_.status_ == 204 || head_.status_ == 304 || ignores_body_;
        head_.has_body_ = !is_bodyless && (this->chunked() || length.value_or(0) > 0 ||
                                           (!IsRequest && this->need_eof()));
        head_.keep_alive_ = this->keep_alive() && !head_.is_http_1_0_;
        head_.keep_alive_time_ = keep_alive_time_of(find_header(head_.headers_, "keep-alive"));
        remove_hop_headers(head_.headers_);
        remove_header(head_.headers_, "expect");
        hooks_.on_head_(std::move(head_));
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, boost_error&) override {}

    auto on_body_impl(beast::string_view body, boost_error&) -> std::size_t override
    {
        hooks_.on_body_({body.data(), body.size()});
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, boost_error&) override {}

    auto on_chunk_body_impl(std::uint64_t, beast::string_view body, boost_error&)
        -> std::size_t override
    {
        body_.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(boost_error&) override
    {
        deliver_body();
        hooks_.on_end_();
    }

    /** Rejects fields that Beast accepts but that two parsers could interpret differently, which
     * would allow request smuggling. */
    auto are_fields_unambiguous() -> bool
    {
        std::size_t hosts = 0;
        for (const auto& field : head_.headers_) {
            hosts += field.name_ == "host" ? 1 : 0;
            if (field.name_ == "transfer-encoding" &&
                (head_.is_http_1_0_ || lower(field.value_) != "chunked")) {
                return false;
            }
            if (IsRequest && field.name_ == "expect") {
                head_.expects_continue_ = true;
                if (lower(field.value_) != "100-continue") {
                    return false;
                }
            }
        }
        return !IsRequest || hosts == 1 || (hosts == 0 && head_.is_http_1_0_);
    }

    http1_parser_hooks hooks_;
    message_head head_;
    std::string body_; ///< Of the chunks parsed since the last deliver_body().
    bool ignores_body_ = false;
};

constexpr std::array<std::string_view, 9> hop_headers{
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "proxy-connection"};

auto to_parse_error(const boost_error& code) -> http1_parse_error
{
    if (code == http::error::header_limit) {
        return http1_parse_error::header_too_large;
    }
    if (code == http::error::body_limit) {
        return http1_parse_error::body_too_large;
    }
    if (code == http::error::partial_message || code == http::error::end_of_stream) {
        return http1_parse_error::truncated;
    }
    return http1_parse_error::malformed;
}

} // namespace

struct http1_parser::state {
    std::uint32_t header_bytes_ = 0; ///< Limit of the head, of a chunk line and of the trailers.
    std::unique_ptr<beast_parser<true>> request_;
    std::unique_ptr<beast_parser<false>> response_;
    http1_parse_error parse_error_ = http1_parse_error::none;
    /** Bytes that the last feed() left because the element that they begin is incomplete. */
    std::size_t incomplete_bytes_ = 0;

    template <typename Action>
    auto with(Action action)
    {
        return request_ ? action(*request_) : action(*response_);
    }
};

auto is_interim_status(unsigned status) -> bool
{
    constexpr unsigned switching_protocols = 101;
    return status >= 100 && status < 200 && status != switching_protocols;
}

auto is_final_status(unsigned status) -> bool
{
    return status >= 200 && status < 600;
}

http1_parser::http1_parser(std::unique_ptr<state> state) : state_(std::move(state)) {}
http1_parser::http1_parser(http1_parser&&) noexcept = default;
auto http1_parser::operator=(http1_parser&&) noexcept -> http1_parser& = default;
http1_parser::~http1_parser() = default;

auto http1_parser::for_request(http1_limits limits, http1_parser_hooks hooks) -> http1_parser
{
    auto parser = std::make_unique<state>();
    parser->header_bytes_ = limits.header_bytes_;
    parser->request_ = std::make_unique<beast_parser<true>>(limits, std::move(hooks));
    return http1_parser(std::move(parser));
}

auto http1_parser::for_response(std::string_view method, http1_limits limits,
                                http1_parser_hooks hooks) -> http1_parser
{
    auto parser = std::make_unique<state>();
    parser->header_bytes_ = limits.header_bytes_;
    parser->response_ = std::make_unique<beast_parser<false>>(limits, std::move(hooks));
    if (method == "HEAD") {
        parser->response_->skip_body();
    }
    return http1_parser(std::move(parser));
}

auto http1_parser::feed(std::string_view bytes) -> std::size_t
{
    // Beast must not be given an incomplete element again without further bytes, and a last chunk
    // that was incomplete only as a whole.
    const bool was_incomplete = state_->incomplete_bytes_ > 0;
    if (parse_error() != http1_parse_error::none || is_done() ||
        bytes.size() <= state_->incomplete_bytes_ ||
        (was_incomplete && bytes.size() < last_chunk.size())) {
        return 0;
    }
    boost_error code;
    const auto consumed = state_->with([&](auto& parser) {
        const auto count = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), code);
        parser.deliver_body();
        return count;
    });
    state_->incomplete_bytes_ = code == http::error::need_more ? bytes.size() - consumed : 0;
    if (code && code != http::error::need_more) {
        state_->parse_error_ = to_parse_error(code);
    }
    else if (code == http::error::need_more && bytes.size() - consumed > state_->header_bytes_) {
        // Beast limits the head only, not chunk lines and trailers.
        state_->parse_error_ = http1_parse_error::header_too_large;
    }
    return consumed;
}

void http1_parser::feed_eof()
{
    if (parse_error() != http1_parse_error::none || is_done()) {
        return;
    }
    if (!has_started()) {
        state_->parse_error_ =
            http1_parse_error::truncated; // put_eof() must not be called before the first byte
        return;
    }
    boost_error code;
    state_->with([&](auto& parser) { parser.put_eof(code); });
    if (code) {
        state_->parse_error_ = to_parse_error(code);
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

auto http1_parser::body_ends_at_close() const -> bool
{
    return state_->response_ && state_->response_->is_header_done() &&
           state_->response_->need_eof();
}

auto http1_parser::parse_error() const -> http1_parse_error
{
    return state_->parse_error_;
}

namespace {

void append_headers(std::string& out, const header_list& headers)
{
    for (const auto& field : headers) {
        out += field.name_;
        out += ": ";
        out += field.value_;
        out += "\r\n";
    }
    out += "\r\n";
}

} // namespace

auto serialize_request_head(const message_head& head) -> std::string
{
    auto out = fmt::format("{} {} HTTP/1.1\r\n", head.method_, head.path_);
    append_headers(out, head.headers_);
    return out;
}

auto serialize_response_head(const message_head& head) -> std::string
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(head.status_));
    auto out = fmt::format("HTTP/1.1 {} {}\r\n", head.status_, to_string(reason));
    append_headers(out, head.headers_);
    return out;
}

auto encode_chunk(std::string_view bytes) -> std::string
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

namespace {

/** Returns the names listed in the Connection fields, in lower case. */
auto connection_tokens(const header_list& headers) -> std::vector<std::string>
{
    std::vector<std::string> tokens;
    for (const auto& field : headers) {
        if (field.name_ != "connection") {
            continue;
        }
        std::string token;
        for (const char character : field.value_ + ",") {
            if (character == ',') {
                tokens.push_back(std::exchange(token, {}));
            }
            else if (character != ' ' && character != '\t') {
                token.push_back(
                    static_cast<char>(std::tolower(static_cast<unsigned char>(character))));
            }
        }
    }
    return tokens;
}

auto is_control(char character) -> bool
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_byte = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte < first_printable || byte == delete_byte;
}

auto is_token(std::string_view text) -> bool
{
    constexpr std::string_view separators = " ()<>@,;:\\\"/[]?={}";
    return !text.empty() && std::ranges::none_of(text, [&](char character) {
        return is_control(character) || static_cast<unsigned char>(character) > 0x7f ||
               separators.find(character) != std::string_view::npos;
    });
}

auto is_field_value(std::string_view text) -> bool
{
    return std::ranges::none_of(
        text, [](char character) { return character != '\t' && is_control(character); });
}

auto is_field(const header_field& field) -> bool
{
    return is_token(field.name_) && is_field_value(field.value_);
}

/** Returns whether a Connection field must not remove this field, because the meaning of the
 * message or of our own protocol depends on it. */
auto is_protected(std::string_view name) -> bool
{
    return name == "host" || name == "content-length" || name == "idempotency-key" ||
           name.starts_with("sycamorewinch-");
}

} // namespace

auto has_valid_syntax(const message_head& head) -> bool
{
    const auto is_separator_or_control = [](char character) {
        return character == ' ' || is_control(character);
    };
    return (head.method_.empty() || is_token(head.method_)) &&
           std::ranges::none_of(head.path_, is_separator_or_control) &&
           std::ranges::all_of(head.headers_, is_field);
}

void remove_invalid_headers(header_list& headers)
{
    std::erase_if(headers, [](const auto& field) { return !is_field(field); });
}

void remove_hop_headers(header_list& headers)
{
    const auto named = connection_tokens(headers);
    std::erase_if(headers, [&named](const auto& field) {
        const bool is_hop_header = std::ranges::find(hop_headers, field.name_) != hop_headers.end();
        const bool is_named = std::ranges::find(named, field.name_) != named.end();
        return is_hop_header || (is_named && !is_protected(field.name_));
    });
}

} // namespace sycamorewinch
