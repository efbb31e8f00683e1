#include "transport/peer_connection.h"

#include <charconv>

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr std::string_view hello_path = "/hello";
constexpr std::string_view prove_path = "/prove";
constexpr std::string_view nonce_header = "sycamorewinch-nonce";
constexpr std::string_view proof_header = "sycamorewinch-proof";
constexpr std::string_view other_version_status = "426";
constexpr std::string_view version_header = "sycamorewinch-protocol";

auto make_post(std::string_view path) -> header_list
{
    return {{":method", "POST"},
            {":scheme", "http"},
            {":authority", "sycamorewinch"},
            {":path", std::string(path)}};
}

/** What the server knows of a peer so far. */
struct peer_check {
    std::string client_nonce_;
    std::string server_nonce_;
    bool proved_ = false;
};

void answer(const std::shared_ptr<h2_connection>& connection, stream_id stream,
            std::string_view status, header_list fields = {})
{
    fields.insert(fields.begin(), {":status", std::string(status)});
    connection->respond(stream, fields, true);
}

void on_hello(const std::shared_ptr<h2_connection>& connection, stream_id stream,
              const header_list& headers, const cluster_key& key, peer_check& check)
{
    if (find_header(headers, version_header) != protocol_version) {
        answer(connection, stream, other_version_status,
               {{std::string(version_header), std::string(protocol_version)}});
        connection->close_after_flush(connection_end::other_version);
        return;
    }
    check.client_nonce_ = find_header(headers, nonce_header);
    check.server_nonce_ = make_nonce();
    const auto proof = key.prove(proof_side::server, check.client_nonce_, check.server_nonce_);
    answer(connection, stream, "200",
           {{std::string(nonce_header), check.server_nonce_}, {std::string(proof_header), proof}});
}

void on_prove(const std::shared_ptr<h2_connection>& connection, stream_id stream,
              const header_list& headers, const cluster_key& key, peer_check& check)
{
    const auto proof = find_header(headers, proof_header);
    check.proved_ = !check.server_nonce_.empty() &&
                    key.verify(proof_side::client, check.client_nonce_, check.server_nonce_, proof);
    check.server_nonce_.clear();
    answer(connection, stream, check.proved_ ? "200" : "401");
    if (!check.proved_) {
        connection->close_after_flush(connection_end::unauthorized);
    }
}

} // namespace

auto parse_peer_address(std::string_view text) -> result<peer_address>
{
    const auto wrong = [text] {
        return failure(error_kind::invalid_input,
                       fmt::format("'{}' must be an IP number and a port, such as 127.0.0.1:7000 "
                                   "or [::1]:7000",
                                   text));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return wrong();
    }
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = text.substr(colon + 1);
    peer_address address{std::string(host), 0};
    const auto* end = port.data() + port.size();
    const auto [stop, problem] = std::from_chars(port.data(), end, address.port_);
    const QHostAddress number(QString::fromStdString(address.host_));
    if (problem != std::errc() || stop != end || number.isNull()) {
        return wrong();
    }
    return address;
}

auto to_text(const peer_address& address) -> std::string
{
    const bool is_v6 = address.host_.find(':') != std::string::npos;
    return fmt::format("{}{}{}:{}", is_v6 ? "[" : "", address.host_, is_v6 ? "]" : "",
                       address.port_);
}

auto peer_client::dial(const peer_address& address, const cluster_key& key, peer_client_hooks hooks,
                       connection_limits limits) -> std::shared_ptr<peer_client>
{
    std::shared_ptr<peer_client> client(new peer_client(key, std::move(hooks)));
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost(QHostAddress(QString::fromStdString(address.host_)), address.port_);
    connection_hooks below;
    below.on_ended_ = [weak = std::weak_ptr(client)](connection_end end) {
        const auto self = weak.lock();
        if (self) {
            self->handshake_timer_.stop();
        }
        if (self && self->hooks_.on_ended_) {
            self->hooks_.on_ended_(end);
        }
    };
    client->connection_ = h2_connection::create(h2_connection::side::client, std::move(socket),
                                                std::move(below), limits);
    client->handshake_timer_.setSingleShot(true);
    QObject::connect(&client->handshake_timer_, &QTimer::timeout, &client->handshake_timer_,
                     [raw = client.get()] {
                         const auto keep = raw->shared_from_this();
                         raw->connection_->close(connection_end::not_ready);
                     });
    client->handshake_timer_.start(limits.ready_within_);
    client->say_hello();
    return client;
}

void peer_client::say_hello()
{
    nonce_ = make_nonce();
    auto headers = make_post(hello_path);
    headers.push_back({std::string(nonce_header), nonce_});
    headers.push_back({std::string(version_header), std::string(protocol_version)});
    stream_hooks hooks;
    hooks.on_headers_ = [weak = weak_from_this()](const header_list& answer, bool) {
        if (const auto self = weak.lock()) {
            self->check_server(answer);
        }
    };
    if (!connection_->request(headers, true, std::move(hooks))) {
        connection_->close(connection_end::protocol_error);
    }
}

void peer_client::check_server(const header_list& answer)
{
    if (find_header(answer, ":status") == other_version_status) {
        connection_->close(connection_end::other_version);
        return;
    }
    const std::string server_nonce(find_header(answer, nonce_header));
    const auto proof = find_header(answer, proof_header);
    if (!key_.verify(proof_side::server, nonce_, server_nonce, proof)) {
        connection_->close(connection_end::unauthorized);
        return;
    }
    send_proof(server_nonce);
}

void peer_client::send_proof(const std::string& server_nonce)
{
    auto headers = make_post(prove_path);
    headers.push_back(
        {std::string(proof_header), key_.prove(proof_side::client, nonce_, server_nonce)});
    stream_hooks hooks;
    hooks.on_headers_ = [weak = weak_from_this()](const header_list& answer, bool) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (find_header(answer, ":status") != "200") {
            self->connection_->close(connection_end::unauthorized);
            return;
        }
        self->ready_ = true;
        self->handshake_timer_.stop();
        if (self->hooks_.on_ready_) {
            self->hooks_.on_ready_();
        }
    };
    if (!connection_->request(headers, true, std::move(hooks))) {
        connection_->close(connection_end::protocol_error);
    }
}

auto serve_peer(std::unique_ptr<QTcpSocket> socket, const cluster_key& key, request_hook on_request,
                std::function<void(connection_end end)> on_ended, connection_limits limits)
    -> std::shared_ptr<h2_connection>
{
    const auto check = std::make_shared<peer_check>();
    auto* timed = socket.get();
    const auto self = std::make_shared<std::weak_ptr<h2_connection>>();
    connection_hooks hooks;
    hooks.on_ended_ = std::move(on_ended);
    hooks.on_request_ = [check, self, key, on_request = std::move(on_request)](
                            stream_id stream, const header_list& headers, bool last) {
        const auto connection = self->lock();
        const auto path = find_header(headers, ":path");
        if (path == hello_path) {
            on_hello(connection, stream, headers, key, *check);
            return stream_hooks();
        }
        if (path == prove_path) {
            on_prove(connection, stream, headers, key, *check);
            return stream_hooks();
        }
        if (!check->proved_) {
            answer(connection, stream, "401");
            connection->close_after_flush(connection_end::unauthorized);
            return stream_hooks();
        }
        return on_request(connection, stream, headers, last);
    };
    auto connection = h2_connection::create(h2_connection::side::server, std::move(socket),
                                            std::move(hooks), limits);
    *self = connection;
    QTimer::singleShot(limits.ready_within_, timed, [check, self] {
        const auto late = self->lock();
        if (late && !check->proved_) {
            late->close(connection_end::not_ready);
        }
    });
    return connection;
}

} // namespace sycamorewinch
