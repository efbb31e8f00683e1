#include "daemon/admin_server.h"

#include <sys/socket.h>

#include <QCryptographicHash>
#include <QHostAddress>
#include <QHttpServer>
#include <QJsonDocument>
#include <fmt/core.h>

#include "transport/reuse_port_listener.h"

namespace sycamorewinch {

namespace {

constexpr std::string_view release_version = "0.1.0";

auto status_of(error_kind kind) -> int
{
    switch (kind) {
    case error_kind::invalid_input:
    case error_kind::unsupported:
        return 400;
    case error_kind::unauthorized:
        return 401;
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
        return 409;
    case error_kind::too_large:
        return 413;
    case error_kind::unavailable:
        return 503;
    case error_kind::corrupt:
    case error_kind::io:
        return 500;
    }
    return 500;
}

auto text_response(const char* type, const std::string& text, bool is_ok = true)
    -> QHttpServerResponse
{
    const auto status = is_ok ? QHttpServerResponse::StatusCode::Ok
                              : QHttpServerResponse::StatusCode::ServiceUnavailable;
    return {type, QByteArray::fromStdString(text), status};
}

/** Compares secrets without leaking by its timing where they differ: it hashes both and always
 * compares the whole digests. */
auto constant_time_equal(const QByteArray& left, const QByteArray& right) -> bool
{
    const auto left_digest = QCryptographicHash::hash(left, QCryptographicHash::Sha256);
    const auto right_digest = QCryptographicHash::hash(right, QCryptographicHash::Sha256);
    int difference = 0;
    for (qsizetype index = 0; index < left_digest.size(); ++index) {
        difference |= left_digest[index] ^ right_digest[index];
    }
    return difference == 0;
}

} // namespace

admin_server::admin_server(metrics_registry& metrics, std::string token,
                           const std::function<bool()>& is_ready, admin_limits limits)
    : listener_(std::make_unique<limited_tcp_server>(metrics, limits)),
      server_(std::make_unique<QHttpServer>()), token_(std::move(token)),
      unauthorized_(metrics.count("sycamorewinch_admin_unauthorized_total",
                                  "Operator requests without a valid token."))
{
    metrics
        .gauge("sycamorewinch_build_info", "Always 1; the release is in the label.",
               {{"version", release_version}})
        .set(1);
    const auto get = QHttpServerRequest::Method::Get;
    handle(get, "/metrics", admin_access::unauthenticated, [this, &metrics](const auto&) {
        refresh_();
        return text_response("text/plain; version=0.0.4", metrics.prometheus_text());
    });
    handle(get, "/healthz", admin_access::unauthenticated,
           [](const auto&) { return text_response("text/plain", "ok\n"); });
    handle(get, "/readyz", admin_access::unauthenticated, [is_ready](const auto&) {
        const bool ready = is_ready();
        return text_response("text/plain", ready ? "ready\n" : "not ready\n", ready);
    });
}

admin_server::~admin_server() = default;

void admin_server::handle(QHttpServerRequest::Method method, const std::string& path,
                          admin_access access, admin_handler handler)
{
    server_->route(
        QString::fromStdString(path), method,
        [this, access, handler = std::move(handler)](const QHttpServerRequest& request) {
            if (access == admin_access::operators && !is_operator(request)) {
                unauthorized_.add();
                return error_response(
                    {error_kind::unauthorized,
                     "this path requires 'Authorization: Bearer' with the operator token"});
            }
            return handler(request);
        });
}

auto admin_server::is_operator(const QHttpServerRequest& request) const -> bool
{
    return token_.empty() || constant_time_equal(request.value("authorization"),
                                                 QByteArray::fromStdString("Bearer " + token_));
}

auto admin_server::listen(const peer_address& address) -> result<void>
{
    const QHostAddress host(QString::fromStdString(address.host_));
    if (!listener_->listen(host, address.port_)) {
        return failure(error_kind::io, fmt::format("cannot listen on {}: {}", to_text(address),
                                                   listener_->errorString().toStdString()));
    }
    ::setsockopt(static_cast<int>(listener_->socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
                 &client_receive_buffer_bytes, sizeof(client_receive_buffer_bytes));
    server_->bind(listener_.get());
    listener_->setParent(nullptr); // bind() made it a child of server_, but listener_ owns it
    return {};
}

auto admin_server::port() const -> std::uint16_t
{
    return listener_->serverPort();
}

auto json_response(const QJsonObject& body, int status) -> QHttpServerResponse
{
    return {"application/json", QJsonDocument(body).toJson(QJsonDocument::Compact),
            static_cast<QHttpServerResponse::StatusCode>(status)};
}

auto error_response(const error& problem) -> QHttpServerResponse
{
    const auto kind = std::string(name_of(problem.kind_));
    return json_response({{"error", QString::fromStdString(kind)},
                          {"message", QString::fromStdString(problem.message_)}},
                         status_of(problem.kind_));
}

auto read_json(const QHttpServerRequest& request) -> result<QJsonObject>
{
    QJsonParseError problem;
    const auto document = QJsonDocument::fromJson(request.body(), &problem);
    if (!document.isObject()) {
        return failure(error_kind::invalid_input,
                       fmt::format("the request body must be a JSON object: {}",
                                   problem.errorString().toStdString()));
    }
    return document.object();
}

} // namespace sycamorewinch
