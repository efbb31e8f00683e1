#include "http1/http1_server_connection.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <sys/socket.h>

#include <QTcpSocket>
#include <QTimer>

namespace sycamorewinch {

namespace {

constexpr qint64 read_buffer_bytes = 64 * 1024;
constexpr std::size_t low_water_bytes = 64U * 1024;
constexpr std::string_view continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned no_content_status = 204;
constexpr unsigned not_modified_status = 304;

} // namespace

struct http1_server_connection::state {
    http1_server_connection* owner_ = nullptr;
    std::unique_ptr<QTcpSocket> socket_;
    http1_limits limits_;
    server_connection_hooks hooks_;
    QTimer timer_;
    std::string input_;
    std::optional<http1_parser> parser_;
    std::shared_ptr<request_hooks> request_; ///< Held by those who are calling one of them.
    bool request_open_ = false;              ///< A request's answer is not finished.
    bool request_whole_ = false;             ///< The request's body has ended.
    bool answering_ = false;
    bool chunked_ = false;
    bool keep_alive_ = true;
    bool paused_ = false;
    bool closing_ = false; ///< The next answer says `connection: close`.
    bool last_ = false;    ///< The current answer is the last, whatever it said.
    bool closed_ = false;
    bool in_parse_ = false;
    bool lingering_ = false; ///< The last answer is written; input is read and dropped.
    bool is_head_ = false;   ///< The current request's method is HEAD.
    bool is_http_1_0_ = false;
    bool bodyless_ = false; ///< The current answer has no body, whatever is written.

    void start();
    void expect_request();
    void parse();
    void on_head(message_head head);
    void on_problem();
    void on_written();
    void on_timeout();
    void linger();
    void read_input();
    void end();
    void later(void (state::*step)());
    void next_request();
    void cancel_request();
};

http1_server_connection::http1_server_connection() : state_(std::make_unique<state>()) {}

http1_server_connection::~http1_server_connection()
{
    state_->socket_->disconnect();
    state_->socket_.release()->deleteLater();
}

auto http1_server_connection::create(std::unique_ptr<QTcpSocket> socket, http1_limits limits,
                                     server_connection_hooks hooks)
    -> std::shared_ptr<http1_server_connection>
{
    std::shared_ptr<http1_server_connection> connection(new http1_server_connection());
    connection->state_->owner_ = connection.get();
    connection->state_->socket_ = std::move(socket);
    connection->state_->limits_ = limits;
    connection->state_->hooks_ = std::move(hooks);
    connection->state_->start();
    return connection;
}

void http1_server_connection::state::start()
{
    auto* socket = socket_.get();
    socket->setReadBufferSize(read_buffer_bytes);
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, socket, [this] { on_timeout(); });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { parse(); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { end(); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] { end(); });
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this] { on_written(); });
    expect_request();
}

void http1_server_connection::state::on_written()
{
    if (lingering_) {
        linger();
        return;
    }
    const auto hooks = request_;
    if (hooks && request_open_ && owner_->queued_bytes() <= low_water_bytes &&
        hooks->on_writable_) {
        const auto keep = owner_->shared_from_this();
        hooks->on_writable_();
    }
}

void http1_server_connection::state::on_timeout()
{
    end();
}

/** Ends our side once all is written, and reads what the caller still sends: closing with unread
 * input would reset the connection, and the caller would lose the answer. */
void http1_server_connection::state::linger()
{
    lingering_ = true;
    timer_.start(limits_.linger_timeout_);
    if (socket_->bytesToWrite() == 0) {
        ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    }
}

/** Runs \p step from the event loop, unless the connection is gone by then. */
void http1_server_connection::state::later(void (state::*step)())
{
    QTimer::singleShot(0, socket_.get(), [weak = owner_->weak_from_this(), step] {
        if (const auto owner = weak.lock(); owner && !owner->state_->closed_) {
            (owner->state_.get()->*step)();
        }
    });
}

void http1_server_connection::state::next_request()
{
    expect_request();
    paused_ = false;
    parse();
}

void http1_server_connection::state::expect_request()
{
    request_open_ = false;
    request_whole_ = false;
    answering_ = false;
    request_.reset();
    http1_events events;
    events.on_head_ = [this](message_head head) {
        on_head(std::move(head));
    };
    events.on_body_ = [this](std::string_view bytes) {
        if (const auto hooks = request_; hooks && hooks->on_body_) {
            hooks->on_body_(bytes);
        }
    };
    events.on_end_ = [this] {
        request_whole_ = true;
        if (const auto hooks = request_; hooks && hooks->on_body_end_) {
            hooks->on_body_end_();
        }
    };
    parser_.emplace(http1_parser::for_request(limits_, std::move(events)));
    timer_.start(limits_.idle_timeout_);
}

void http1_server_connection::state::on_head(message_head head)
{
    timer_.stop();
    request_open_ = true;
    keep_alive_ = head.keep_alive_;
    is_head_ = head.method_ == "HEAD";
    is_http_1_0_ = head.is_http_1_0_;
    const bool wants_continue = head.expects_continue_ && head.has_body_;
    auto made = std::make_shared<request_hooks>(hooks_.on_request_(std::move(head)));
    if (closed_ || !request_open_) {
        return; // answered at once
    }
    request_ = std::move(made);
    if (wants_continue && !answering_) {
        socket_->write(continue_answer.data(), static_cast<qint64>(continue_answer.size()));
    }
}

void http1_server_connection::state::parse()
{
    if (in_parse_ || paused_ || closed_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    in_parse_ = true;
    read_input();
    std::size_t start = 0;
    while (!closed_ && !paused_ && !lingering_ && start < input_.size() && !request_whole_) {
        if (!parser_->has_started()) {
            timer_.start(limits_.header_timeout_);
        }
        const auto used = parser_->feed(std::string_view(input_).substr(start));
        start += used;
        if (parser_->problem() != http1_problem::none) {
            on_problem();
            break;
        }
        if (used == 0) {
            break;
        }
    }
    input_.erase(0, lingering_ ? input_.size() : start);
    in_parse_ = false;
}

void http1_server_connection::state::read_input()
{
    const auto available = static_cast<std::size_t>(std::max<qint64>(socket_->bytesAvailable(), 0));
    const auto held = input_.size();
    input_.resize(held + available);
    const auto count = socket_->read(input_.data() + held, static_cast<qint64>(available));
    input_.resize(held + static_cast<std::size_t>(std::max<qint64>(count, 0)));
}

void http1_server_connection::state::on_problem()
{
    closing_ = true;
    keep_alive_ = false;
    if (answering_) {
        end(); // an answer under way cannot be replaced: cut it
        return;
    }
    if (request_open_) {
        cancel_request();
    }
    request_open_ = true;
    request_whole_ = true;
    hooks_.on_bad_request_(parser_->problem());
}

void http1_server_connection::state::cancel_request()
{
    const auto hooks = std::exchange(request_, nullptr);
    if (hooks && hooks->on_cancelled_) {
        hooks->on_cancelled_();
    }
}

void http1_server_connection::state::end()
{
    if (closed_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    closed_ = true;
    timer_.stop();
    socket_->disconnect();
    if (answering_) { // a reset, so that a body without a length is not taken for whole
        const ::linger reset{1, 0};
        ::setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET, SO_LINGER, &reset,
                     sizeof(reset));
    }
    socket_->abort();
    if (request_open_) {
        request_open_ = false;
        cancel_request();
    }
    const auto on_closed = std::move(hooks_.on_closed_);
    hooks_ = {};
    if (on_closed) {
        on_closed();
    }
}

void http1_server_connection::respond(message_head head)
{
    auto& self = *state_;
    if (self.closed_ || !self.request_open_ || self.answering_) {
        return;
    }
    self.answering_ = true;
    self.keep_alive_ = self.keep_alive_ && !self.closing_ && self.request_whole_;
    const bool no_length = head.status_ == no_content_status || head.status_ == not_modified_status;
    self.bodyless_ = self.is_head_ || no_length;
    const bool streamed = !self.bodyless_ && head.has_body_ && !head.content_length_;
    self.chunked_ = streamed && !self.is_http_1_0_;
    self.keep_alive_ = self.keep_alive_ && (!streamed || self.chunked_);
    remove_hop_headers(head.headers_);
    remove_header(head.headers_, "content-length");
    remove_unwritable(head.headers_);
    if (self.chunked_) {
        head.headers_.push_back({"transfer-encoding", "chunked"});
    }
    else if (head.content_length_ && head.status_ != no_content_status) {
        head.headers_.push_back({"content-length", std::to_string(*head.content_length_)});
    }
    else if (!self.bodyless_ && !head.has_body_) {
        head.headers_.push_back({"content-length", "0"});
    }
    if (!self.keep_alive_) {
        head.headers_.push_back({"connection", "close"});
    }
    const auto bytes = write_response_head(head);
    self.socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void http1_server_connection::write(std::string_view bytes)
{
    auto& self = *state_;
    if (self.closed_ || !self.answering_ || self.bodyless_ || bytes.empty()) {
        return;
    }
    if (self.chunked_) {
        const auto chunk = write_chunk(bytes);
        self.socket_->write(chunk.data(), static_cast<qint64>(chunk.size()));
        return;
    }
    self.socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void http1_server_connection::finish()
{
    auto& self = *state_;
    if (self.closed_ || !self.answering_) {
        return;
    }
    if (self.chunked_) {
        self.socket_->write(last_chunk.data(), static_cast<qint64>(last_chunk.size()));
    }
    const auto keep = shared_from_this();
    self.request_open_ = false;
    self.answering_ = false;
    self.request_.reset();
    if (!self.keep_alive_ || self.last_) {
        self.closing_ = true;
        self.paused_ = false;
        self.linger();
        self.later(&state::parse);
        return;
    }
    self.later(&state::next_request); // not from inside the parser that reports this very request
}

void http1_server_connection::set_limits(const http1_limits& limits)
{
    state_->limits_ = limits;
}

void http1_server_connection::abort()
{
    state_->end();
}

void http1_server_connection::pause_reading(bool paused)
{
    auto& self = *state_;
    if (self.closed_ || self.paused_ == paused) {
        return;
    }
    self.paused_ = paused;
    if (!paused) {
        self.later(&state::parse);
    }
}

auto http1_server_connection::queued_bytes() const -> std::size_t
{
    return static_cast<std::size_t>(state_->socket_->bytesToWrite());
}

void http1_server_connection::close_after_next_answer()
{
    state_->closing_ = true;
}

void http1_server_connection::close_when_idle()
{
    state_->last_ = true;
    state_->closing_ = true;
    if (!state_->request_open_ && !state_->lingering_) {
        state_->end();
    }
}

} // namespace sycamorewinch
