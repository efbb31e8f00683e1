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

namespace sycamorewinch {

namespace {

constexpr qint64 read_buffer_bytes = 64 * 1024;
constexpr unsigned first_final_status = 200;
constexpr unsigned switching_protocols_status = 101;
constexpr std::size_t low_water_bytes = 64U * 1024;

} // namespace

struct http1_client_connection::state {
    http1_client_connection* owner_ = nullptr;
    std::unique_ptr<QTcpSocket> socket_ = std::make_unique<QTcpSocket>();
    std::optional<http1_parser> parser_;
    std::shared_ptr<client_exchange_hooks> hooks_; ///< Held by those who are calling one of them.
    std::string method_; ///< Of the request, for the parser of its answer.
    std::string input_;
    std::string unsent_; ///< Written before the connection was up.
    QElapsedTimer idle_; ///< Since the last exchange ended, or the current one began.
    bool connected_ = false;
    bool active_ = false;
    bool sent_any_ = false;
    bool request_done_ = false;
    bool response_done_ = false;
    bool chunked_ = false;
    bool reusable_ = true;
    bool paused_ = false;
    bool in_parse_ = false;
    bool ended_ = false;
    bool lost_ = false;          ///< The connection broke while reading was paused.
    bool informational_ = false; ///< The head just parsed is a 1xx; another follows.
    int end_probe_ = -1;         ///< A second descriptor, to tell a proper end from a reset.
    http1_client_limits limits_;
    std::optional<std::chrono::seconds> keep_alive_time_;
    std::function<void()> on_silent_;
    QTimer connect_timer_;
    QTimer stall_timer_; ///< Runs while an answer is not whole.

    void start_socket(const std::string& host, std::uint16_t port);
    void send(std::string_view bytes);
    void parse();
    void expect_answer();
    void read_input();
    void on_head(message_head head);
    void on_lost();
    void finish_lost();
    [[nodiscard]] auto ended_properly() -> bool;
    void close_probe();
    void resume();
    void fail(exchange_failure failure);
    void complete();
};

http1_client_connection::http1_client_connection() : state_(std::make_unique<state>()) {}

http1_client_connection::~http1_client_connection()
{
    state_->close_probe();
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
    connection->state_->start_socket(host, port);
    return connection;
}

void http1_client_connection::state::start_socket(const std::string& host, std::uint16_t port)
{
    auto* socket = socket_.get();
    idle_.start();
    socket->setReadBufferSize(read_buffer_bytes);
    connect_timer_.setSingleShot(true);
    QObject::connect(&connect_timer_, &QTimer::timeout, socket, [this] { on_lost(); });
    connect_timer_.start(limits_.connect_timeout_);
    stall_timer_.setSingleShot(true);
    QObject::connect(&stall_timer_, &QTimer::timeout, socket, [this] {
        if (!paused_) {
            fail(exchange_failure::cut_short);
        }
    });
    QObject::connect(socket, &QTcpSocket::connected, socket, [this, socket] {
        connect_timer_.stop();
        connected_ = true;
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        const auto bytes = std::move(unsent_);
        unsent_.clear();
        send(bytes);
    });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { parse(); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { on_lost(); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] { on_lost(); });
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this] {
        const auto hooks = hooks_;
        if (active_ && owner_->queued_bytes() <= low_water_bytes && hooks->on_writable_) {
            const auto keep = owner_->shared_from_this();
            hooks->on_writable_();
        }
    });
    socket->connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

void http1_client_connection::state::send(std::string_view bytes)
{
    if (!connected_) {
        unsent_ += bytes;
        return;
    }
    if (!bytes.empty()) {
        sent_any_ = true;
        socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
}

void http1_client_connection::start(message_head head, client_exchange_hooks hooks)
{
    auto& self = *state_;
    invariant(!self.active_, "an exchange is started on a busy connection");
    self.hooks_ = std::make_shared<client_exchange_hooks>(std::move(hooks));
    self.active_ = true;
    self.idle_.restart();
    self.paused_ = false;
    self.sent_any_ = false;
    self.response_done_ = false;
    self.request_done_ = !head.has_body_;
    self.chunked_ = head.has_body_ && !head.content_length_;
    remove_hop_headers(head.headers_);
    remove_header(head.headers_, "content-length");
    if (self.chunked_) {
        head.headers_.push_back({"transfer-encoding", "chunked"});
    }
    else if (head.content_length_) {
        head.headers_.push_back({"content-length", std::to_string(*head.content_length_)});
    }
    self.method_ = head.method_;
    self.expect_answer();
    if (self.ended_ || !is_writable(head)) {
        self.fail(exchange_failure::not_sent);
        return;
    }
    self.send(write_request_head(head));
}

void http1_client_connection::state::expect_answer()
{
    http1_events events;
    events.on_head_ = [this](message_head answer) {
        on_head(std::move(answer));
    };
    events.on_body_ = [this](std::string_view bytes) {
        if (const auto hooks = hooks_; active_ && hooks->on_body_) {
            hooks->on_body_(bytes);
        }
    };
    events.on_end_ = [] {
    };
    informational_ = false;
    parser_.emplace(http1_parser::for_response(method_, {}, std::move(events)));
}

void http1_client_connection::state::on_head(message_head head)
{
    if (head.status_ < first_final_status && head.status_ != switching_protocols_status) {
        informational_ = true;
        return;
    }
    reusable_ = reusable_ && head.keep_alive_;
    keep_alive_time_ = head.keep_alive_time_ ? head.keep_alive_time_ : keep_alive_time_;
    if (head.has_body_ && !head.content_length_ && connected_) {
        end_probe_ = ::dup(static_cast<int>(socket_->socketDescriptor()));
    }
    if (const auto hooks = hooks_; active_ && hooks->on_response_) {
        hooks->on_response_(std::move(head));
    }
}

void http1_client_connection::state::read_input()
{
    const auto available = static_cast<std::size_t>(std::max<qint64>(socket_->bytesAvailable(), 0));
    const auto held = input_.size();
    input_.resize(held + available);
    const auto count = socket_->read(input_.data() + held, static_cast<qint64>(available));
    input_.resize(held + static_cast<std::size_t>(std::max<qint64>(count, 0)));
}

void http1_client_connection::state::parse()
{
    if (in_parse_ || paused_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    if (!active_) {
        reusable_ = false; // bytes that nobody asked for
        ended_ = true;
        socket_->disconnect();
        socket_->abort();
        return;
    }
    in_parse_ = true;
    read_input();
    std::size_t start = 0;
    while (active_ && !paused_ && start < input_.size() && !parser_->is_done()) {
        const auto used = parser_->feed(std::string_view(input_).substr(start));
        start += used;
        if (parser_->problem() != http1_problem::none) {
            fail(exchange_failure::malformed);
            break;
        }
        if (parser_->is_done() && informational_) {
            expect_answer();
        }
        else if (used == 0) {
            break;
        }
    }
    input_.erase(0, start);
    in_parse_ = false;
    if (active_ && parser_->is_done()) {
        complete();
    }
    else if (active_ && parser_->has_started() && !paused_) {
        stall_timer_.start(limits_.stall_timeout_);
    }
}

void http1_client_connection::state::complete()
{
    active_ = false;
    stall_timer_.stop();
    close_probe();
    reusable_ = reusable_ && request_done_ && input_.empty() && !ended_;
    idle_.restart();
    const auto hooks = std::exchange(hooks_, nullptr);
    if (!reusable_) {
        socket_->disconnect();
        socket_->abort();
        ended_ = true;
    }
    if (hooks->on_end_) {
        hooks->on_end_();
    }
}

void http1_client_connection::state::on_lost()
{
    if (ended_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    connect_timer_.stop();
    if (active_ && paused_) {
        read_input(); // delivered when the reader has caught up
        lost_ = true;
        return;
    }
    parse(); // what arrived before the end still counts
    finish_lost();
}

void http1_client_connection::state::finish_lost()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    reusable_ = false;
    if (!active_) {
        return;
    }
    if (!sent_any_) {
        fail(exchange_failure::not_sent);
        return;
    }
    const bool started = parser_->has_started();
    if (!parser_->needs_end() || ended_properly()) {
        parser_->feed_end();
    }
    if (parser_->is_done() && !informational_) {
        complete();
    }
    else {
        fail(started ? exchange_failure::cut_short : exchange_failure::broken);
    }
}

/** Qt reports a reset and an end alike; only after an end has the socket the state CLOSE_WAIT. */
auto http1_client_connection::state::ended_properly() -> bool
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    return end_probe_ >= 0 &&
           ::getsockopt(end_probe_, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
           info.tcpi_state != TCP_CLOSE;
}

void http1_client_connection::state::close_probe()
{
    if (end_probe_ >= 0) {
        ::close(std::exchange(end_probe_, -1));
    }
}

/** Goes on where a pause stopped. */
void http1_client_connection::state::resume()
{
    if (paused_ || ended_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    parse();
    if (lost_ && !paused_) {
        finish_lost();
    }
}

void http1_client_connection::state::fail(exchange_failure failure)
{
    if (!active_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    active_ = false;
    reusable_ = false;
    ended_ = true;
    close_probe();
    connect_timer_.stop();
    stall_timer_.stop();
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
    if (!self.active_ || self.request_done_ || bytes.empty()) {
        return;
    }
    self.send(self.chunked_ ? write_chunk(bytes) : std::string(bytes));
}

void http1_client_connection::finish()
{
    auto& self = *state_;
    if (!self.active_ || self.request_done_) {
        return;
    }
    self.request_done_ = true;
    if (self.chunked_) {
        self.send(last_chunk);
    }
}

void http1_client_connection::cancel()
{
    auto& self = *state_;
    const bool is_silent = self.active_ && self.sent_any_ && !self.parser_->has_started() &&
                           idle_time() >= self.limits_.silent_after_;
    if (is_silent && self.on_silent_) {
        self.on_silent_();
    }
    self.active_ = false;
    self.stall_timer_.stop();
    self.hooks_.reset();
    self.close_probe();
    self.connect_timer_.stop();
    self.reusable_ = false;
    self.ended_ = true;
    self.socket_->disconnect();
    self.socket_->abort();
}

void http1_client_connection::pause_reading(bool paused)
{
    if (state_->paused_ == paused) {
        return;
    }
    state_->paused_ = paused;
    if (!paused) {
        QTimer::singleShot(0, state_->socket_.get(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->state_->resume();
            }
        });
    }
}

void http1_client_connection::on_silent(std::function<void()> on_silent)
{
    state_->on_silent_ = std::move(on_silent);
}

auto http1_client_connection::queued_bytes() const -> std::size_t
{
    return state_->unsent_.size() + static_cast<std::size_t>(state_->socket_->bytesToWrite());
}

auto http1_client_connection::is_reusable() const -> bool
{
    const auto& self = *state_;
    if (!self.reusable_ || self.active_ || self.ended_) {
        return false;
    }
    // The end may have arrived without its event having been handled yet.
    char byte = 0;
    const auto descriptor = static_cast<int>(self.socket_->socketDescriptor());
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto http1_client_connection::keep_alive_time() const -> std::optional<std::chrono::seconds>
{
    return state_->keep_alive_time_;
}

auto http1_client_connection::idle_time() const -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(state_->idle_.elapsed());
}

} // namespace sycamorewinch
