#include "transport/peer_connection.h"

#include <charconv>

#include <QHostAddress>
#include <QTcpSocket>
#include <fmt/core.h>

#include "event_loop/call_after.h"

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

/** The server's state of the handshake with one peer. */
struct server_handshake {
    std::string client_nonce_;
    std::string server_nonce_;
    bool proved_ = false;
};

void send_response(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                   std::string_view status, header_list fields = {})
{
    fields.insert(fields.begin(), {":status", std::string(status)});
    connection->respond(stream, fields, true);
}

void handle_hello(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                  const header_list& headers, const cluster_key& key, server_handshake& handshake)
{
    if (find_header(headers, version_header) != protocol_version) {
        send_response(connection, stream, other_version_status,
                      {{std::string(version_header), std::string(protocol_version)}});
        connection->close_after_flush(connection_end_reason::other_version);
        return;
    }
    handshake.client_nonce_ = find_header(headers, nonce_header);
    handshake.server_nonce_ = make_nonce();
    const auto proof =
        key.prove(proof_side::server, handshake.client_nonce_, handshake.server_nonce_);
    send_response(
        connection, stream, "200",
        {{std::string(nonce_header), handshake.server_nonce_}, {std::string(proof_header), proof}});
}

void handle_proof(const std::shared_ptr<h2_connection>& connection, stream_id stream,
                  const header_list& headers, const cluster_key& key, server_handshake& handshake)
{
    const auto proof = find_header(headers, proof_header);
    handshake.proved_ =
        !handshake.server_nonce_.empty() &&
        key.verify(proof_side::client, handshake.client_nonce_, handshake.server_nonce_, proof);
    handshake.server_nonce_.clear();
    send_response(connection, stream, handshake.proved_ ? "200" : "401");
    if (!handshake.proved_) {
        connection->close_after_flush(connection_end_reason::unauthorized);
    }
}

} // namespace

auto parse_peer_address(std::string_view text) -> result<peer_address>
{
    const auto invalid_address = [text] {
        return failure(error_kind::invalid_input,
                       fmt::format("'{}' must be an IP address and a port, such as 127.0.0.1:7000 "
                                   "or [::1]:7000",
                                   text));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid_address();
    }
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = text.substr(colon + 1);
    peer_address address{std::string(host), 0};
    const auto* end = port.data() + port.size();
    const auto [stop, error_code] = std::from_chars(port.data(), end, address.port_);
    const QHostAddress number(QString::fromStdString(address.host_));
    if (error_code != std::errc() || stop != end || number.isNull()) {
        return invalid_address();
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
    connection_hooks transport_hooks;
    transport_hooks.on_ended_ = [weak = std::weak_ptr(client)](connection_end_reason end) {
        const auto self = weak.lock();
        if (self) {
            self->handshake_timer_.stop();
        }
        if (self && self->hooks_.on_ended_) {
            self->hooks_.on_ended_(end);
        }
    };
    client->connection_ = h2_connection::create(h2_connection::side::client, std::move(socket),
                                                std::move(transport_hooks), limits);
    client->handshake_timer_.start(limits.handshake_timeout_);
    client->send_hello();
    return client;
}

void peer_client::send_hello()
{
    nonce_ = make_nonce();
    auto headers = make_post(hello_path);
    headers.push_back({std::string(nonce_header), nonce_});
    headers.push_back({std::string(version_header), std::string(protocol_version)});
    stream_hooks hooks;
    hooks.on_headers_ = [weak = weak_from_this()](const header_list& response, bool) {
        if (const auto self = weak.lock()) {
            self->verify_server(response);
        }
    };
    if (!connection_->request(headers, true, std::move(hooks))) {
        connection_->close(connection_end_reason::protocol_error);
    }
}

void peer_client::verify_server(const header_list& response)
{
    if (find_header(response, ":status") == other_version_status) {
        connection_->close(connection_end_reason::other_version);
        return;
    }
    const std::string server_nonce(find_header(response, nonce_header));
    const auto proof = find_header(response, proof_header);
    if (!key_.verify(proof_side::server, nonce_, server_nonce, proof)) {
        connection_->close(connection_end_reason::unauthorized);
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
    hooks.on_headers_ = [weak = weak_from_this()](const header_list& response, bool) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (find_header(response, ":status") != "200") {
            self->connection_->close(connection_end_reason::unauthorized);
            return;
        }
        self->ready_ = true;
        self->handshake_timer_.stop();
        if (self->hooks_.on_ready_) {
            self->hooks_.on_ready_();
        }
    };
    if (!connection_->request(headers, true, std::move(hooks))) {
        connection_->close(connection_end_reason::protocol_error);
    }
}

auto serve_peer(std::unique_ptr<QTcpSocket> socket, const cluster_key& key, request_hook on_request,
                std::function<void(connection_end_reason end)> on_ended, connection_limits limits)
    -> std::shared_ptr<h2_connection>
{
    const auto handshake = std::make_shared<server_handshake>();
    auto& timer_context = *socket;
    const auto self = std::make_shared<std::weak_ptr<h2_connection>>();
    connection_hooks hooks;
    hooks.on_ended_ = std::move(on_ended);
    hooks.on_request_ = [handshake, self, key, on_request = std::move(on_request)](
                            stream_id stream, const header_list& headers, bool last) {
        const auto connection = self->lock();
        const auto path = find_header(headers, ":path");
        if (path == hello_path) {
            handle_hello(connection, stream, headers, key, *handshake);
            return stream_hooks();
        }
        if (path == prove_path) {
            handle_proof(connection, stream, headers, key, *handshake);
            return stream_hooks();
        }
        if (!handshake->proved_) {
            send_response(connection, stream, "401");
            connection->close_after_flush(connection_end_reason::unauthorized);
            return stream_hooks();
        }
        return on_request(connection, stream, headers, last);
    };
    auto connection = h2_connection::create(h2_connection::side::server, std::move(socket),
                                            std::move(hooks), limits);
    *self = connection;
    call_after(limits.handshake_timeout_, timer_context, [handshake, self] {
        const auto pending_connection = self->lock();
        if (pending_connection && !handshake->proved_) {
            pending_connection->close(connection_end_reason::not_ready);
        }
    });
    return connection;
}

} // namespace sycamorewinch
