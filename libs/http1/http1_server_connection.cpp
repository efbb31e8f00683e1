#include "http1/http1_server_connection.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <sys/socket.h>

#include <QTcpSocket>
#include <QTimer>

#include "event_loop/deadline_timer.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

namespace {

constexpr qint64 read_buffer_bytes = 64 * 1024;
/** Held for each connection besides the bytes of its messages: objects, and blocks that the socket
 * keeps for reuse. */
constexpr std::uint64_t connection_bytes = 24U * 1024;
/** What can arrive while reading is paused: in the read buffer and in that of the system. */
constexpr std::uint64_t paused_bytes = read_buffer_bytes + client_receive_buffer_memory;
constexpr std::size_t low_water_bytes = 64U * 1024;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned no_content_status = 204;
constexpr unsigned not_modified_status = 304;

} // namespace

struct http1_server_connection::state {
    http1_server_connection* owner_ = nullptr;
    std::unique_ptr<QTcpSocket> socket_;
    http1_limits limits_;
    server_connection_hooks hooks_;
    deadline_timer timer_{[this] {
        on_timeout();
    }};
    std::optional<memory_charge> charge_; ///< For what the connection itself holds. Set by start().
    std::optional<guarded_client> client_; ///< Set by start().
    std::string input_;
    std::optional<http1_parser> parser_;
    std::shared_ptr<request_hooks> request_; ///< Shared: may be reset while a hook runs.
    bool response_pending_ = false;          ///< The response to the current request is unfinished.
    bool request_complete_ = false;          ///< The request body has ended.
    bool response_started_ = false;
    bool is_chunked_ = false;
    bool keep_alive_ = true;
    bool is_paused_ = false;
    bool send_connection_close_ = false; ///< In the head of the next response.
    bool close_after_response_ = false;  ///< Even without "connection: close" in its head.
    bool is_closed_ = false;
    bool is_parsing_ = false;
    bool is_lingering_ = false; ///< Last response written; input is read and discarded.
    bool is_head_ = false;      ///< The current request's method is HEAD.
    bool is_http_1_0_ = false;
    bool has_no_body_ = false; ///< The current response has no body; write() is ignored.

    void start();
    void start_request_parser();
    void parse();
    void on_head(message_head head);
    void on_parse_error();
    void on_written();
    void linger();
    void read_input();
    void close_connection();
    void post(void (state::*function)());
    void next_request();
    void cancel_request();
    void on_timeout();
    void reclaim(reclaim_reason reason);
    /** Updates what the guard knows of this connection. */
    void update_guard(bool has_progressed);
    [[nodiscard]] auto stage() const -> client_stage;
    [[nodiscard]] auto is_receiving_body() const -> bool
    {
        return response_pending_ && !request_complete_;
    }
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
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { parse(); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { close_connection(); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] { close_connection(); });
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this] { on_written(); });
    charge_.emplace(limits_.guard_);
    client_.emplace(limits_.guard_, client_kind::connection, [this](auto reason) {
        const auto keep = owner_->shared_from_this();
        reclaim(reason);
    });
    start_request_parser();
}

auto http1_server_connection::state::stage() const -> client_stage
{
    const bool has_unread_response = socket_->bytesToWrite() > 0;
    if (is_lingering_ || (!response_pending_ && !has_unread_response && !parser_->has_started())) {
        return client_stage::idle;
    }
    return has_unread_response || !request_complete_ || response_started_ ? client_stage::sending
                                                                          : client_stage::waiting;
}

void http1_server_connection::state::update_guard(bool has_progressed)
{
    if (is_closed_ || limits_.guard_ == nullptr || !parser_) {
        return;
    }
    const auto unread_bytes = is_paused_ ? paused_bytes : 0;
    charge_->set(connection_bytes + unread_bytes + input_.size() +
                 static_cast<std::uint64_t>(socket_->bytesToWrite()));
    client_->set_stage(stage(), has_progressed);
}

void http1_server_connection::state::on_timeout()
{
    const auto keep = owner_->shared_from_this();
    if (is_receiving_body() && !is_lingering_ && limits_.guard_ != nullptr) {
        client_->reclaim(reclaim_reason::stalled);
        return;
    }
    close_connection();
}

/** Ends the request in progress, if any, by a response of its owner. A connection that is needed
 * for another client is closed without waiting until the response has been read. */
void http1_server_connection::state::reclaim(reclaim_reason reason)
{
    const auto hooks = request_;
    const bool was_lingering = is_lingering_;
    if (response_pending_ && !was_lingering && hooks && hooks->on_reclaim_) {
        hooks->on_reclaim_();
    }
    if (was_lingering || !is_lingering_ || reason == reclaim_reason::connections) {
        close_connection();
    }
}

void http1_server_connection::state::on_written()
{
    update_guard(true);
    if (is_lingering_) {
        linger();
        return;
    }
    const auto hooks = request_;
    if (hooks && response_pending_ && owner_->queued_bytes() <= low_water_bytes &&
        hooks->on_writable_) {
        const auto keep = owner_->shared_from_this();
        hooks->on_writable_();
    }
}

/** Shuts down the sending side once everything is written, and keeps reading what the caller sends:
 * closing with unread input would reset the connection, and the caller would lose the response. */
void http1_server_connection::state::linger()
{
    is_lingering_ = true;
    timer_.start(limits_.linger_timeout_);
    if (socket_->bytesToWrite() == 0) {
        ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    }
}

/** Calls \p function from the event loop, unless the connection is closed by then. */
void http1_server_connection::state::post(void (state::*function)())
{
    QTimer::singleShot(0, socket_.get(), [weak = owner_->weak_from_this(), function] {
        if (const auto owner = weak.lock(); owner && !owner->state_->is_closed_) {
            (owner->state_.get()->*function)();
        }
    });
}

void http1_server_connection::state::next_request()
{
    start_request_parser();
    is_paused_ = false;
    parse();
}

void http1_server_connection::state::start_request_parser()
{
    response_pending_ = false;
    request_complete_ = false;
    response_started_ = false;
    request_.reset();
    http1_parser_hooks parser_hooks;
    parser_hooks.on_head_ = [this](message_head head) {
        on_head(std::move(head));
    };
    parser_hooks.on_body_ = [this](std::string_view bytes) {
        if (const auto hooks = request_; hooks && hooks->on_body_) {
            hooks->on_body_(bytes);
        }
    };
    parser_hooks.on_end_ = [this] {
        request_complete_ = true;
        timer_.stop();
        if (const auto hooks = request_; hooks && hooks->on_body_end_) {
            hooks->on_body_end_();
        }
    };
    parser_.emplace(http1_parser::for_request(limits_, std::move(parser_hooks)));
    timer_.start(limits_.idle_timeout_);
    update_guard(true);
}

void http1_server_connection::state::on_head(message_head head)
{
    timer_.stop();
    response_pending_ = true;
    if (head.has_body_) {
        timer_.start(limits_.body_timeout_);
    }
    keep_alive_ = head.keep_alive_;
    is_head_ = head.method_ == "HEAD";
    is_http_1_0_ = head.is_http_1_0_;
    const bool wants_continue = head.expects_continue_ && head.has_body_;
    auto request = std::make_shared<request_hooks>(hooks_.on_request_(std::move(head)));
    if (is_closed_ || !response_pending_) {
        return; // already answered by the hook
    }
    request_ = std::move(request);
    if (wants_continue && !response_started_) {
        socket_->write(continue_response.data(), static_cast<qint64>(continue_response.size()));
    }
}

void http1_server_connection::state::parse()
{
    if (is_parsing_ || is_paused_ || is_closed_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    const auto arrived = static_cast<std::uint64_t>(socket_->bytesAvailable());
    if (limits_.guard_ != nullptr && !is_lingering_ &&
        !limits_.guard_->make_room(arrived, &*client_)) {
        client_->reclaim(reclaim_reason::memory);
        return;
    }
    if (is_closed_ || is_paused_) { // to make room, other requests were refused
        return;
    }
    if (is_receiving_body() && arrived > 0) {
        timer_.start(limits_.body_timeout_);
    }
    is_parsing_ = true;
    read_input();
    std::size_t start = 0;
    while (!is_closed_ && !is_paused_ && !is_lingering_ && start < input_.size() &&
           !request_complete_) {
        if (!parser_->has_started()) {
            timer_.start(limits_.header_timeout_);
        }
        const auto consumed = parser_->feed(std::string_view(input_).substr(start));
        start += consumed;
        if (parser_->parse_error() != http1_parse_error::none) {
            on_parse_error();
            break;
        }
        if (consumed == 0) {
            break;
        }
    }
    input_.erase(0, is_lingering_ ? input_.size() : start);
    if (input_.empty()) {
        input_ = {}; // frees its memory
    }
    is_parsing_ = false;
    update_guard(arrived > 0);
}

void http1_server_connection::state::read_input()
{
    const auto available = static_cast<std::size_t>(std::max<qint64>(socket_->bytesAvailable(), 0));
    const auto buffered = input_.size();
    input_.resize(buffered + available);
    const auto count = socket_->read(input_.data() + buffered, static_cast<qint64>(available));
    input_.resize(buffered + static_cast<std::size_t>(std::max<qint64>(count, 0)));
}

void http1_server_connection::state::on_parse_error()
{
    send_connection_close_ = true;
    keep_alive_ = false;
    if (response_started_) {
        close_connection(); // a response in progress cannot be replaced by an error: truncate it
        return;
    }
    if (response_pending_) {
        cancel_request();
    }
    response_pending_ = true;
    request_complete_ = true;
    hooks_.on_bad_request_(parser_->parse_error());
}

void http1_server_connection::state::cancel_request()
{
    const auto hooks = std::exchange(request_, nullptr);
    if (hooks && hooks->on_cancelled_) {
        hooks->on_cancelled_();
    }
}

void http1_server_connection::state::close_connection()
{
    if (is_closed_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    is_closed_ = true;
    client_->leave();
    charge_->set(0);
    timer_.stop();
    socket_->disconnect();
    if (response_started_) { // reset, so that a body without a length does not look complete
        const ::linger reset{1, 0};
        ::setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET, SO_LINGER, &reset,
                     sizeof(reset));
    }
    else {
        socket_->flush(); // abort() discards what the system has not accepted yet
    }
    socket_->abort();
    if (response_pending_) {
        response_pending_ = false;
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
    if (self.is_closed_ || !self.response_pending_ || self.response_started_) {
        return;
    }
    self.response_started_ = true;
    self.keep_alive_ = self.keep_alive_ && !self.send_connection_close_ && self.request_complete_;
    const bool forbids_body =
        head.status_ == no_content_status || head.status_ == not_modified_status;
    self.has_no_body_ = self.is_head_ || forbids_body;
    const bool has_unknown_length = !self.has_no_body_ && head.has_body_ && !head.content_length_;
    self.is_chunked_ = has_unknown_length && !self.is_http_1_0_;
    self.keep_alive_ = self.keep_alive_ && (!has_unknown_length || self.is_chunked_);
    remove_hop_headers(head.headers_);
    remove_header(head.headers_, "content-length");
    remove_invalid_headers(head.headers_);
    if (self.is_chunked_) {
        head.headers_.push_back({"transfer-encoding", "chunked"});
    }
    else if (head.content_length_ && head.status_ != no_content_status) {
        head.headers_.push_back({"content-length", std::to_string(*head.content_length_)});
    }
    else if (!self.has_no_body_ && !head.has_body_) {
        head.headers_.push_back({"content-length", "0"});
    }
    if (!self.keep_alive_) {
        head.headers_.push_back({"connection", "close"});
    }
    const auto bytes = serialize_response_head(head);
    self.socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void http1_server_connection::write(std::string_view bytes)
{
    auto& self = *state_;
    if (self.is_closed_ || !self.response_started_ || self.has_no_body_ || bytes.empty()) {
        return;
    }
    if (self.is_chunked_) {
        const auto chunk = encode_chunk(bytes);
        self.socket_->write(chunk.data(), static_cast<qint64>(chunk.size()));
    }
    else {
        self.socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
    self.update_guard(true);
}

void http1_server_connection::finish()
{
    auto& self = *state_;
    if (self.is_closed_ || !self.response_started_) {
        return;
    }
    if (self.is_chunked_) {
        self.socket_->write(last_chunk.data(), static_cast<qint64>(last_chunk.size()));
    }
    const auto keep = shared_from_this();
    self.response_pending_ = false;
    self.response_started_ = false;
    self.request_.reset();
    if (!self.keep_alive_ || self.close_after_response_) {
        self.send_connection_close_ = true;
        self.is_paused_ = false;
        self.linger();
        self.post(&state::parse);
        return;
    }
    self.post(&state::next_request); // posted: finish() may be called from a parser hook
}

void http1_server_connection::set_limits(const http1_limits& limits)
{
    state_->limits_ = limits;
}

void http1_server_connection::abort()
{
    state_->close_connection();
}

void http1_server_connection::pause_reading(bool paused)
{
    auto& self = *state_;
    if (self.is_closed_ || self.is_paused_ == paused) {
        return;
    }
    self.is_paused_ = paused;
    if (self.is_receiving_body()) { // a pause is no stall of the caller
        paused ? self.timer_.stop() : self.timer_.start(self.limits_.body_timeout_);
    }
    if (!paused) {
        self.post(&state::parse);
    }
    self.update_guard(false);
}

auto http1_server_connection::queued_bytes() const -> std::size_t
{
    return static_cast<std::size_t>(state_->socket_->bytesToWrite());
}

auto http1_server_connection::end_request_time() -> bool
{
    const auto hooks = state_->request_;
    if (!state_->response_pending_ || !hooks || !hooks->on_time_up_) {
        return false;
    }
    hooks->on_time_up_();
    return true;
}

void http1_server_connection::close_after_next_response()
{
    state_->send_connection_close_ = true;
}

void http1_server_connection::close_when_idle()
{
    state_->close_after_response_ = true;
    state_->send_connection_close_ = true;
    if (state_->response_pending_ || state_->is_lingering_) {
        return;
    }
    if (queued_bytes() > 0) {
        state_->linger();
    }
    else {
        state_->close_connection();
    }
}

} // namespace sycamorewinch
