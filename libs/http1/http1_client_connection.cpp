#include "http1/http1_client_connection.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include "base/invariant.h"
#include "event_loop/deadline_timer.h"
#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

namespace {

constexpr qint64 read_buffer_bytes = 64 * 1024;
constexpr std::size_t low_water_bytes = 64U * 1024;
/** Held for each connection besides the bytes of its messages: objects, and blocks that the socket
 * keeps for reuse. */
constexpr std::uint64_t connection_bytes = 24U * 1024;
/** What can arrive while reading is paused: in the read buffer and in that of the system. */
constexpr std::uint64_t paused_bytes = read_buffer_bytes + client_receive_buffer_memory;
/** Largest total size of the 1xx responses before a response. */
constexpr std::size_t max_informational_bytes = 64U * 1024;

} // namespace

struct http1_client_connection::state {
    http1_client_connection* owner_ = nullptr;
    std::unique_ptr<QTcpSocket> socket_ = std::make_unique<QTcpSocket>();
    std::optional<http1_parser> parser_;
    std::shared_ptr<client_exchange_hooks> hooks_; ///< Shared: may be reset while a hook runs.
    std::string method_; ///< Of the request; tells the parser whether the response has a body.
    std::string input_;
    std::string unsent_;       ///< Bytes to send once the connection is established.
    QElapsedTimer idle_timer_; ///< Since the last exchange ended or the current one began.
    bool is_connected_ = false;
    bool is_active_ = false;
    bool has_sent_bytes_ = false;
    bool request_complete_ = false;
    bool response_done_ = false;
    bool is_chunked_ = false;
    bool can_reuse_ = true;
    bool is_paused_ = false;
    bool is_parsing_ = false;
    bool is_closed_ = false;
    bool has_ended_exchange_ = false;
    bool disconnected_while_paused_ = false; ///< Handled when reading resumes.
    bool is_informational_ = false;          ///< The last parsed head is a 1xx; another follows.
    std::size_t informational_bytes_ = 0;    ///< Size of the 1xx responses of the exchange.
    int tcp_info_descriptor_ = -1; ///< Duplicate socket descriptor, to tell a FIN from a reset.
    http1_client_limits limits_;
    std::optional<memory_charge> charge_; ///< For what this connection holds.
    std::optional<std::chrono::seconds> keep_alive_time_;
    std::function<void()> silent_hook_;
    deadline_timer connect_timer_{[this] {
        on_disconnected();
    }};
    /** Runs while a response is incomplete. */
    deadline_timer stall_timer_{[this] {
        if (!is_paused_) {
            fail(exchange_failure::truncated);
        }
    }};

    void start_socket(const std::string& host, std::uint16_t port);
    void send(std::string_view bytes);
    void parse();
    void start_response_parser();
    void read_input();
    void on_head(message_head head);
    void on_disconnected();
    void finish_disconnect();
    [[nodiscard]] auto received_fin() -> bool;
    void close_tcp_info_descriptor();
    void resume();
    void fail(exchange_failure failure);
    void complete();
    void update_charge();
};

http1_client_connection::http1_client_connection() : state_(std::make_unique<state>()) {}

http1_client_connection::~http1_client_connection()
{
    state_->close_tcp_info_descriptor();
    state_->socket_->disconnect();
    state_->socket_.release()->deleteLater();
}

auto http1_client_connection::dial(const std::string& host, std::uint16_t port,
                                   http1_client_limits limits)
    -> std::shared_ptr<http1_client_connection>
{
    std::shared_ptr<http1_client_connection> connection(new http1_client_connection());
    connection->state_->owner_ = connection.get();
    connection->state_->limits_ = limits;
    connection->state_->charge_.emplace(limits.guard_);
    connection->state_->start_socket(host, port);
    return connection;
}

void http1_client_connection::state::start_socket(const std::string& host, std::uint16_t port)
{
    auto* socket = socket_.get();
    idle_timer_.start();
    socket->setReadBufferSize(read_buffer_bytes);
    connect_timer_.start(limits_.connect_timeout_);
    QObject::connect(socket, &QTcpSocket::connected, socket, [this, socket] {
        connect_timer_.stop();
        is_connected_ = true;
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        if (limits_.guard_ != nullptr) {
            socket->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                                    client_receive_buffer_bytes);
        }
        const auto bytes = std::move(unsent_);
        unsent_.clear();
        send(bytes);
    });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { parse(); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { on_disconnected(); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] { on_disconnected(); });
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this] {
        update_charge();
        const auto hooks = hooks_;
        if (is_active_ && owner_->queued_bytes() <= low_water_bytes && hooks->on_writable_) {
            const auto keep = owner_->shared_from_this();
            hooks->on_writable_();
        }
    });
    socket->connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

void http1_client_connection::state::send(std::string_view bytes)
{
    if (!is_connected_) {
        unsent_ += bytes;
    }
    else if (!bytes.empty()) {
        has_sent_bytes_ = true;
        socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
    update_charge();
}

void http1_client_connection::state::update_charge()
{
    const bool holds_bytes = !is_closed_ && limits_.guard_ != nullptr;
    const auto unread_bytes = is_paused_ ? paused_bytes : 0;
    charge_->set(
        holds_bytes ? connection_bytes + unread_bytes + input_.size() + owner_->queued_bytes() : 0);
}

void http1_client_connection::start(message_head head, client_exchange_hooks hooks)
{
    auto& self = *state_;
    invariant(!self.is_active_, "cannot start an exchange: the connection has an active one");
    self.hooks_ = std::make_shared<client_exchange_hooks>(std::move(hooks));
    self.is_active_ = true;
    self.idle_timer_.restart();
    self.is_paused_ = false;
    self.has_sent_bytes_ = false;
    self.response_done_ = false;
    self.informational_bytes_ = 0;
    self.request_complete_ = !head.has_body_;
    self.is_chunked_ = head.has_body_ && !head.content_length_;
    remove_hop_headers(head.headers_);
    remove_header(head.headers_, "content-length");
    if (self.is_chunked_) {
        head.headers_.push_back({"transfer-encoding", "chunked"});
    }
    else if (head.content_length_) {
        head.headers_.push_back({"content-length", std::to_string(*head.content_length_)});
    }
    self.method_ = head.method_;
    self.start_response_parser();
    if (self.is_closed_ || !has_valid_syntax(head)) {
        self.fail(exchange_failure::not_sent);
        return;
    }
    self.send(serialize_request_head(head));
}

void http1_client_connection::state::start_response_parser()
{
    http1_parser_hooks parser_hooks;
    parser_hooks.on_head_ = [this](message_head response) {
        on_head(std::move(response));
    };
    parser_hooks.on_body_ = [this](std::string_view bytes) {
        if (const auto hooks = hooks_; is_active_ && hooks->on_body_) {
            hooks->on_body_(bytes);
        }
    };
    parser_hooks.on_end_ = [] {
    };
    is_informational_ = false;
    parser_.emplace(http1_parser::for_response(method_, {}, std::move(parser_hooks)));
}

void http1_client_connection::state::on_head(message_head head)
{
    if (is_interim_status(head.status_)) {
        is_informational_ = true;
        return;
    }
    can_reuse_ = can_reuse_ && head.keep_alive_;
    keep_alive_time_ = head.keep_alive_time_ ? head.keep_alive_time_ : keep_alive_time_;
    if (head.has_body_ && !head.content_length_ && is_connected_) {
        tcp_info_descriptor_ = ::dup(static_cast<int>(socket_->socketDescriptor()));
    }
    if (const auto hooks = hooks_; is_active_ && hooks->on_response_) {
        hooks->on_response_(std::move(head));
    }
}

void http1_client_connection::state::read_input()
{
    const auto available = static_cast<std::size_t>(std::max<qint64>(socket_->bytesAvailable(), 0));
    const auto buffered = input_.size();
    input_.resize(buffered + available);
    const auto count = socket_->read(input_.data() + buffered, static_cast<qint64>(available));
    input_.resize(buffered + static_cast<std::size_t>(std::max<qint64>(count, 0)));
}

void http1_client_connection::state::parse()
{
    if (is_parsing_ || is_paused_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    if (limits_.guard_ != nullptr) {
        // May end this exchange. Without room, it goes on with the little that it may have queued.
        limits_.guard_->make_room(static_cast<std::uint64_t>(socket_->bytesAvailable()), nullptr);
    }
    if (is_closed_) {
        return;
    }
    if (!is_active_) {
        can_reuse_ = false; // unsolicited bytes: no request is outstanding
        is_closed_ = true;
        socket_->disconnect();
        socket_->abort();
        return;
    }
    is_parsing_ = true;
    read_input();
    std::size_t start = 0;
    while (is_active_ && !is_paused_ && start < input_.size() && !parser_->is_done()) {
        const auto consumed = parser_->feed(std::string_view(input_).substr(start));
        start += consumed;
        if (parser_->parse_error() != http1_parse_error::none) {
            fail(exchange_failure::malformed);
            break;
        }
        informational_bytes_ += is_informational_ ? consumed : 0;
        if (informational_bytes_ > max_informational_bytes) {
            fail(exchange_failure::malformed);
            break;
        }
        if (parser_->is_done() && is_informational_) {
            start_response_parser();
        }
        else if (consumed == 0) {
            break;
        }
    }
    input_.erase(0, start);
    if (input_.empty()) {
        input_ = {}; // frees its memory
    }
    is_parsing_ = false;
    update_charge();
    if (is_active_ && parser_->is_done()) {
        complete();
    }
    else if (is_active_ && parser_->has_started() && !is_paused_) {
        stall_timer_.start(limits_.stall_timeout_);
    }
}

void http1_client_connection::state::complete()
{
    is_active_ = false;
    has_ended_exchange_ = true;
    is_paused_ = false; // unsolicited bytes must be noticed while the connection is idle
    stall_timer_.stop();
    close_tcp_info_descriptor();
    can_reuse_ = can_reuse_ && request_complete_ && input_.empty() && !is_closed_;
    idle_timer_.restart();
    const auto hooks = std::exchange(hooks_, nullptr);
    if (!can_reuse_) {
        socket_->disconnect();
        socket_->abort();
        is_closed_ = true;
    }
    if (hooks->on_end_) {
        hooks->on_end_();
    }
}

void http1_client_connection::state::on_disconnected()
{
    if (is_closed_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    connect_timer_.stop();
    if (is_active_ && is_paused_) {
        read_input(); // delivered when reading resumes
        disconnected_while_paused_ = true;
        return;
    }
    parse(); // bytes received before the disconnect are still delivered
    finish_disconnect();
}

void http1_client_connection::state::finish_disconnect()
{
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    can_reuse_ = false;
    if (!is_active_) {
        return;
    }
    if (!has_sent_bytes_) {
        fail(exchange_failure::not_sent);
        return;
    }
    const bool started = parser_->has_started();
    if (!parser_->body_ends_at_close() || received_fin()) {
        parser_->feed_eof();
    }
    if (parser_->is_done() && !is_informational_) {
        complete();
    }
    else {
        fail(started ? exchange_failure::truncated : exchange_failure::connection_lost);
    }
}

/** Returns whether the peer closed with a FIN. Qt reports a FIN and a reset alike; the socket is in
 * CLOSE_WAIT after a FIN and in TCP_CLOSE after a reset. */
auto http1_client_connection::state::received_fin() -> bool
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    return tcp_info_descriptor_ >= 0 &&
           ::getsockopt(tcp_info_descriptor_, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
           info.tcpi_state != TCP_CLOSE;
}

void http1_client_connection::state::close_tcp_info_descriptor()
{
    if (tcp_info_descriptor_ >= 0) {
        ::close(std::exchange(tcp_info_descriptor_, -1));
    }
}

/** Resumes parsing after a pause and handles a disconnect that happened during it. */
void http1_client_connection::state::resume()
{
    if (is_paused_ || is_closed_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    parse();
    if (disconnected_while_paused_ && !is_paused_) {
        finish_disconnect();
    }
}

void http1_client_connection::state::fail(exchange_failure failure)
{
    if (!is_active_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    is_active_ = false;
    can_reuse_ = false;
    is_closed_ = true;
    close_tcp_info_descriptor();
    connect_timer_.stop();
    stall_timer_.stop();
    unsent_ = {};
    update_charge();
    socket_->disconnect();
    socket_->abort();
    const auto hooks = std::exchange(hooks_, nullptr);
    if (hooks->on_failed_) {
        hooks->on_failed_(failure);
    }
}

void http1_client_connection::write(std::string_view bytes)
{
    auto& self = *state_;
    if (!self.is_active_ || self.request_complete_ || bytes.empty()) {
        return;
    }
    self.send(self.is_chunked_ ? encode_chunk(bytes) : std::string(bytes));
}

void http1_client_connection::finish()
{
    auto& self = *state_;
    if (!self.is_active_ || self.request_complete_) {
        return;
    }
    self.request_complete_ = true;
    if (self.is_chunked_) {
        self.send(last_chunk);
    }
}

void http1_client_connection::cancel()
{
    auto& self = *state_;
    const bool is_silent = self.is_active_ && self.has_sent_bytes_ &&
                           !self.parser_->has_started() &&
                           idle_time() >= self.limits_.silent_after_;
    if (is_silent && self.silent_hook_) {
        self.silent_hook_();
    }
    self.is_active_ = false;
    self.stall_timer_.stop();
    self.hooks_.reset();
    self.close_tcp_info_descriptor();
    self.connect_timer_.stop();
    self.can_reuse_ = false;
    self.is_closed_ = true;
    self.unsent_ = {};
    self.update_charge();
    self.socket_->disconnect();
    self.socket_->abort();
}

void http1_client_connection::pause_reading(bool paused)
{
    if (state_->is_paused_ == paused) {
        return;
    }
    state_->is_paused_ = paused;
    state_->update_charge();
    if (!paused) {
        QTimer::singleShot(0, state_->socket_.get(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->state_->resume();
            }
        });
    }
}

void http1_client_connection::set_silent_hook(std::function<void()> hook)
{
    state_->silent_hook_ = std::move(hook);
}

auto http1_client_connection::queued_bytes() const -> std::size_t
{
    return state_->unsent_.size() + static_cast<std::size_t>(state_->socket_->bytesToWrite());
}

auto http1_client_connection::has_sent_bytes() const -> bool
{
    return state_->has_sent_bytes_;
}

auto http1_client_connection::is_reusable() const -> bool
{
    const auto& self = *state_;
    if (!self.can_reuse_ || self.is_active_ || self.is_closed_) {
        return false;
    }
    // The peer may have closed the connection without Qt having delivered the event yet.
    char byte = 0;
    const auto descriptor = static_cast<int>(self.socket_->socketDescriptor());
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto http1_client_connection::is_reused() const -> bool
{
    return state_->has_ended_exchange_;
}

auto http1_client_connection::keep_alive_time() const -> std::optional<std::chrono::seconds>
{
    return state_->keep_alive_time_;
}

auto http1_client_connection::idle_time() const -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(state_->idle_timer_.elapsed());
}

} // namespace sycamorewinch
