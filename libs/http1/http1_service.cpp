#include "http1/http1_service.h"

#include <QTcpSocket>

namespace sycamorewinch {

namespace {

constexpr unsigned bad_request_status = 400;
constexpr unsigned body_too_large_status = 413;
constexpr unsigned header_too_large_status = 431;
constexpr unsigned unavailable_status = 503;

auto status_of(http1_parse_error parse_error) -> unsigned
{
    switch (parse_error) {
    case http1_parse_error::header_too_large:
        return header_too_large_status;
    case http1_parse_error::body_too_large:
        return body_too_large_status;
    default:
        return bad_request_status;
    }
}

void send_response(http1_server_connection& connection, const http1_response& response)
{
    message_head head;
    head.status_ = response.status_;
    head.headers_ = response.headers_;
    head.has_body_ = !response.body_.empty();
    head.content_length_ = response.body_.size();
    connection.respond(std::move(head));
    connection.write(response.body_);
    connection.finish();
}

} // namespace

http1_service::http1_service(const http1_limits& limits, handler handler)
    : limits_(limits), handler_(std::move(handler))
{
}

http1_service::~http1_service()
{
    listener_.reset();
    // A copy, because abort() removes the connection from connections_.
    for (const auto& connection : std::set(connections_)) {
        connection->abort();
    }
}

auto http1_service::listen(const peer_address& address, const http1_limits& limits, handler handler)
    -> result<std::unique_ptr<http1_service>>
{
    std::unique_ptr<http1_service> service(new http1_service(limits, std::move(handler)));
    auto listener = reuse_port_listener::listen(
        address, [raw = service.get()](auto socket) { raw->accept(std::move(socket)); },
        client_receive_buffer_bytes);
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    service->listener_ = std::move(*listener);
    return service;
}

void http1_service::accept(std::unique_ptr<QTcpSocket> socket)
{
    if (limits_.guard_ != nullptr && !limits_.guard_->admit_connection()) {
        socket->abort();
        return;
    }
    // The hooks are needed to create the connection, so the weak pointer that they share is set
    // after it.
    const auto weak_connection = std::make_shared<std::weak_ptr<http1_server_connection>>();
    server_connection_hooks hooks;
    hooks.on_request_ = [this, weak_connection](message_head head) {
        return on_request(*weak_connection, std::move(head));
    };
    hooks.on_bad_request_ = [weak_connection](http1_parse_error parse_error) {
        send_response(*weak_connection->lock(), {status_of(parse_error), {}, {}});
    };
    hooks.on_closed_ = [this, weak_connection] {
        connections_.erase(weak_connection->lock());
    };
    auto connection = http1_server_connection::create(std::move(socket), limits_, std::move(hooks));
    *weak_connection = connection;
    connections_.insert(std::move(connection));
}

auto http1_service::on_request(const std::weak_ptr<http1_server_connection>& connection,
                               message_head head) -> request_hooks
{
    const auto request = std::make_shared<http1_request>();
    request->head_ = std::move(head);
    request->reply_ = [connection](const http1_response& response) {
        if (const auto open_connection = connection.lock()) {
            send_response(*open_connection, response);
        }
    };
    const auto charge = std::make_shared<memory_charge>(limits_.guard_);
    request_hooks hooks;
    hooks.on_body_ = [request, charge](std::string_view bytes) {
        request->body_ += bytes;
        charge->set(request->body_.size());
    };
    hooks.on_body_end_ = [this, request] {
        handler_(std::move(*request));
    };
    hooks.on_reclaim_ = [request, charge] {
        request->body_ = {};
        charge->set(0);
        if (request->reply_) { // not yet passed to the handler
            request->reply_({unavailable_status, {{"retry-after", "1"}}, {}});
        }
    };
    return hooks;
}

} // namespace sycamorewinch
