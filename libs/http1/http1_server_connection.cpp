#include "http1/http1_server_connection.h"

#include <chrono>
#include <optional>

#include <QTcpSocket>
#include <QTimer>

namespace sycamorewinch {

namespace {

constexpr qint64 read_buffer_bytes = 64 * 1024;
constexpr std::size_t low_water_bytes = 64U * 1024;
constexpr auto header_timeout = std::chrono::seconds(10);
constexpr auto idle_timeout = std::chrono::seconds(60);

} // namespace

struct http1_server_connection::state {
    http1_server_connection* owner_ = nullptr;
    std::unique_ptr<QTcpSocket> socket_;
    http1_limits limits_;
    server_connection_hooks hooks_;
    QTimer timer_;
    std::string input_;
    std::optional<http1_parser> parser_;
    request_hooks request_;
    bool request_open_ = false;  ///< A request's answer is not finished.
    bool request_whole_ = false; ///< The request's body has ended.
    bool answering_ = false;
    bool chunked_ = false;
    bool keep_alive_ = true;
    bool paused_ = false;
    bool closing_ = false;
    bool closed_ = false;
    bool in_parse_ = false;

    void start();
    void expect_request();
    void parse();
    void on_head(message_head head);
    void on_problem();
    void end();
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
    QObject::connect(&timer_, &QTimer::timeout, socket, [this] { end(); });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { parse(); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { end(); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] { end(); });
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this] {
        if (request_open_ && owner_->queued_bytes() <= low_water_bytes && request_.on_writable_) {
            const auto keep = owner_->shared_from_this();
            request_.on_writable_();
        }
    });
    expect_request();
}

void http1_server_connection::state::expect_request()
{
    request_open_ = false;
    request_whole_ = false;
    answering_ = false;
    request_ = {};
    http1_events events;
    events.on_head_ = [this](message_head head) {
        on_head(std::move(head));
    };
    events.on_body_ = [this](std::string_view bytes) {
        if (request_.on_body_) {
            request_.on_body_(bytes);
        }
    };
    events.on_end_ = [this] {
        request_whole_ = true;
        if (request_.on_body_end_) {
            request_.on_body_end_();
        }
    };
    parser_.emplace(http1_parser::for_request(limits_, std::move(events)));
    timer_.start(idle_timeout);
}

void http1_server_connection::state::on_head(message_head head)
{
    timer_.stop();
    request_open_ = true;
    keep_alive_ = head.keep_alive_;
    request_ = hooks_.on_request_(std::move(head));
}

void http1_server_connection::state::parse()
{
    if (in_parse_ || paused_ || closed_) {
        return;
    }
    const auto keep = owner_->shared_from_this();
    in_parse_ = true;
    input_ += socket_->readAll().toStdString();
    while (!closed_ && !paused_ && !input_.empty() && !request_whole_) {
        if (!parser_->has_started()) {
            timer_.start(header_timeout);
        }
        const auto used = parser_->feed(input_);
        input_.erase(0, used);
        if (parser_->problem() != http1_problem::none) {
            on_problem();
            break;
        }
        if (used == 0) {
            break;
        }
    }
    in_parse_ = false;
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
    const auto cancelled = std::move(request_.on_cancelled_);
    request_ = {};
    if (cancelled) {
        cancelled();
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
    self.chunked_ = !head.content_length_ && head.has_body_;
    remove_hop_headers(head.headers_);
    remove_header(head.headers_, "content-length");
    if (self.chunked_) {
        head.headers_.push_back({"transfer-encoding", "chunked"});
    }
    else if (head.content_length_ || !head.has_body_) {
        head.headers_.push_back(
            {"content-length", std::to_string(head.content_length_.value_or(0))});
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
    if (self.closed_ || !self.answering_ || bytes.empty()) {
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
    self.request_ = {};
    if (!self.keep_alive_ || self.closing_) {
        self.closing_ = true;
        self.socket_->disconnectFromHost(); // after what is queued is written
        self.timer_.start(header_timeout);
        return;
    }
    // Not from inside the parser that is reporting this very request.
    QTimer::singleShot(0, self.socket_.get(), [this] {
        state_->expect_request();
        state_->paused_ = false;
        state_->parse();
    });
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
        QTimer::singleShot(0, self.socket_.get(), [this] { state_->parse(); });
    }
}

auto http1_server_connection::queued_bytes() const -> std::size_t
{
    return static_cast<std::size_t>(state_->socket_->bytesToWrite());
}

void http1_server_connection::close_when_idle()
{
    state_->closing_ = true;
    if (!state_->request_open_) {
        state_->end();
    }
}

} // namespace sycamorewinch
