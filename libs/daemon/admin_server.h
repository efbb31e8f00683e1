/** \file
 * The admin HTTP server of every daemon process: metrics, health checks and the paths that each
 * role adds. Built on QHttpServer.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <QHttpServerRequest>
#include <QHttpServerResponse>
#include <QJsonObject>

#include "daemon/limited_tcp_server.h"
#include "observability/metrics.h"
#include "transport/peer_connection.h"

class QHttpServer;

namespace sycamorewinch {

/** Handles one request synchronously. With Qt 6.4 an asynchronous response aborts the process (both
 * through the responder and through QFuture), so a handler answers 202 to work that takes time and
 * the client polls.
 */
using admin_handler = std::function<QHttpServerResponse(const QHttpServerRequest&)>;

/** The authentication that a path requires. */
enum class admin_access : std::uint8_t {
    unauthenticated,
    operators, ///< Requires the operator token as bearer token, if one is configured.
};

/** Serves the admin address of one process. */
class admin_server {
  public:
    /** \p is_ready decides the answer of /readyz. With an empty \p token, operator paths require
     * no authentication. */
    admin_server(metrics_registry& metrics, std::string token,
                 const std::function<bool()>& is_ready, admin_limits limits = {});
    admin_server(const admin_server&) = delete;
    auto operator=(const admin_server&) -> admin_server& = delete;
    admin_server(admin_server&&) = delete;
    auto operator=(admin_server&&) -> admin_server& = delete;
    ~admin_server();

    /** Registers the handler of a path. Call before listen(). */
    void handle(QHttpServerRequest::Method method, const std::string& path, admin_access access,
                admin_handler handler);

    /** Calls \p refresh before each response of /metrics, to update gauges that mirror values held
     * elsewhere. */
    void set_metrics_refresh(std::function<void()> refresh) { refresh_ = std::move(refresh); }

    [[nodiscard]] auto listen(const peer_address& address) -> result<void>;
    /** Returns the port listened on, which the system chose if listen() was given port 0. */
    [[nodiscard]] auto port() const -> std::uint16_t;

  private:
    [[nodiscard]] auto is_operator(const QHttpServerRequest& request) const -> bool;

    std::unique_ptr<limited_tcp_server> listener_;
    std::unique_ptr<QHttpServer> server_;
    std::string token_;
    std::function<void()> refresh_ = [] {
    };
    counter& unauthorized_;
};

[[nodiscard]] auto json_response(const QJsonObject& body, int status = 200) -> QHttpServerResponse;
/** Returns a JSON response with the kind and the message of \p problem, and the HTTP status that
 * corresponds to its kind. */
[[nodiscard]] auto error_response(const error& problem) -> QHttpServerResponse;
/** Parses the request body as a JSON object; anything else is an invalid_input error. */
[[nodiscard]] auto read_json(const QHttpServerRequest& request) -> result<QJsonObject>;

} // namespace sycamorewinch
