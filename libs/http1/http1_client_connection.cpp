#include "http1/http1_client_connection.h"

#include <optional>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr qint64 read_buffer_bytes = 64 * 1024;
constexpr std::size_t low_water_bytes = 64U * 1024;

} // namespace

struct http1_client_connection::state {
    http1_client_connection* owner_ = nullptr;
    std::unique_ptr<QTcpSocket> socket_ = std::make_unique<QTcpSocket>();
    std::optional<http1_parser> parser_;
    client_exchange_hooks hooks_;
    std::string input_;
    std::string unsent_; ///< Written before the connection was up.
    QElapsedTimer idle_;
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

    void start_socket(const std::string& host, std::uint16_t port);
    void send(std::string_view bytes);
    void parse();
    void on_head(message_head head);
    void on_lost();
    void fail(exchange_failure failure);
    void complete();
};

http1_client_connection::http1_client_connection() : state_(std::make_unique<state>()) {}

http1_client_connection::~http1_client_connection()
{
    state_->socket_->disconnect();
    state_->socket_.release()->deleteLater();
}

auto http1_client_connection::dial(const std::string& host, std::uint16_t port)
    -> std::shared_ptr<http1_client_connection>
{
    std::shared_ptr<http1_client_connection> connection(new http1_client_connection());
    connection->state_->owner_ = connection.get();
    connection->state_->start_socket(host, port);
    return connection;
}

void http1_client_connection::state::start_socket(const std::string& host, std::uint16_t port)
{
    auto* socket = socket_.get();
    idle_.start();
    socket->setReadBufferSize(read_buffer_bytes);
    QObject::connect(socket, &QTcpSocket::connected, socket, [this, socket] {
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
        if (active_ && owner_->queued_bytes() <= low_water_bytes && hooks_.on_writable_) {
            const auto keep = owner_->shared_from_this();
            hooks_.on_writable_();
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
    self.hooks_ = std::move(hooks);
    self.active_ = true;
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
    http1_events events;
    events.on_head_ = [this](message_head answer) {
        state_->on_head(std::move(answer));
    };
    events.on_body_ = [this](std::string_view bytes) {
        if (state_->active_ && state_->hooks_.on_body_) {
            state_->hooks_.on_body_(bytes);
        }
    };
    events.on_end_ = [] {
    };
    self.parser_.emplace(http1_parser::for_response(head.method_, {}, std::move(events)));
    if (self.ended_) {
        self.fail(exchange_failure::not_sent);
        return;
    }
    self.send(write_request_head(head));
}

void http1_client_connection::state::on_head(message_head head)
{
    reusable_ = reusable_ && head.keep_alive_;
    if (active_ && hooks_.on_response_) {
        hooks_.on_response_(std::move(head));
    }
}

void http1_client_connection::state::parse()
{
    if (in_parse_ || paused_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    if (!active_) {
        reusable_ = false; // bytes that nobody asked for
        socket_->abort();
        return;
    }
    in_parse_ = true;
    input_ += socket_->readAll().toStdString();
    while (active_ && !paused_ && !input_.empty() && !parser_->is_done()) {
        const auto used = parser_->feed(input_);
        input_.erase(0, used);
        if (parser_->problem() != http1_problem::none) {
            fail(exchange_failure::malformed);
            break;
        }
        if (used == 0) {
            break;
        }
    }
    in_parse_ = false;
    if (active_ && parser_->is_done()) {
        complete();
    }
}

void http1_client_connection::state::complete()
{
    active_ = false;
    reusable_ = reusable_ && request_done_ && input_.empty() && !ended_;
    idle_.restart();
    const auto hooks = std::move(hooks_);
    hooks_ = {};
    if (!reusable_) {
        socket_->disconnect();
        socket_->abort();
        ended_ = true;
    }
    if (hooks.on_end_) {
        hooks.on_end_();
    }
}

void http1_client_connection::state::on_lost()
{
    if (ended_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    parse(); // what arrived before the end still counts
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
    parser_->feed_end();
    if (parser_->is_done()) {
        complete();
    }
    else {
        fail(started ? exchange_failure::cut_short : exchange_failure::broken);
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
    socket_->disconnect();
    socket_->abort();
    const auto hooks = std::move(hooks_);
    hooks_ = {};
    if (hooks.on_failed_) {
        hooks.on_failed_(failure);
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
    self.active_ = false;
    self.hooks_ = {};
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
        QTimer::singleShot(0, state_->socket_.get(), [this] { state_->parse(); });
    }
}

auto http1_client_connection::queued_bytes() const -> std::size_t
{
    return state_->unsent_.size() + static_cast<std::size_t>(state_->socket_->bytesToWrite());
}

auto http1_client_connection::is_reusable() const -> bool
{
    return state_->reusable_ && !state_->active_ && !state_->ended_;
}

auto http1_client_connection::idle_time() const -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(state_->idle_.elapsed());
}

} // namespace sycamorewinch
