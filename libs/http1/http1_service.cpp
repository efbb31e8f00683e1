#include "http1/http1_service.h"

#include <QTcpSocket>

namespace sycamorewinch {

namespace {

constexpr unsigned bad_request_status = 400;
constexpr unsigned body_too_large_status = 413;
constexpr unsigned header_too_large_status = 431;

auto status_of(http1_problem problem) -> unsigned
{
    switch (problem) {
    case http1_problem::header_too_large:
        return header_too_large_status;
    case http1_problem::body_too_large:
        return body_too_large_status;
    default:
        return bad_request_status;
    }
}

void send(http1_server_connection& connection, const http1_answer& answer)
{
    message_head head;
    head.status_ = answer.status_;
    head.headers_ = answer.headers_;
    head.has_body_ = !answer.body_.empty();
    head.content_length_ = answer.body_.size();
    connection.respond(std::move(head));
    connection.write(answer.body_);
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
    for (const auto& connection : std::set(connections_)) {
        connection->abort();
    }
}

auto http1_service::listen(const peer_address& address, const http1_limits& limits, handler handler)
    -> result<std::unique_ptr<http1_service>>
{
    std::unique_ptr<http1_service> service(new http1_service(limits, std::move(handler)));
    auto listener = reuse_port_listener::listen(
        address, [raw = service.get()](auto socket) { raw->accept(std::move(socket)); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    service->listener_ = std::move(*listener);
    return service;
}

void http1_service::accept(std::unique_ptr<QTcpSocket> socket)
{
    const auto self = std::make_shared<std::weak_ptr<http1_server_connection>>();
    server_connection_hooks hooks;
    hooks.on_request_ = [this, self](message_head head) {
        return on_request(*self, std::move(head));
    };
    hooks.on_bad_request_ = [self](http1_problem problem) {
        send(*self->lock(), {status_of(problem), {}, {}});
    };
    hooks.on_closed_ = [this, self] {
        connections_.erase(self->lock());
    };
    auto connection = http1_server_connection::create(std::move(socket), limits_, std::move(hooks));
    *self = connection;
    connections_.insert(std::move(connection));
}

auto http1_service::on_request(const std::weak_ptr<http1_server_connection>& connection,
                               message_head head) -> request_hooks
{
    const auto call = std::make_shared<http1_call>();
    call->head_ = std::move(head);
    call->reply_ = [connection](const http1_answer& answer) {
        if (const auto open = connection.lock()) {
            send(*open, answer);
        }
    };
    request_hooks hooks;
    hooks.on_body_ = [call](std::string_view bytes) {
        call->body_ += bytes;
    };
    hooks.on_body_end_ = [this, call] {
        handler_(std::move(*call));
    };
    return hooks;
}

} // namespace sycamorewinch
