/** \file
 * The HTTP side of every daemon process: metrics, health, and what each role adds. Qt's HTTP
 * server.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <QHttpServerRequest>
#include <QHttpServerResponse>
#include <QJsonObject>

#include "daemon/guarded_tcp_server.h"
#include "observability/metrics.h"
#include "transport/peer_connection.h"

class QHttpServer;

namespace sycamorewinch {

/** Answers one request at once. Qt 6.4's server stops the process when an answer comes later (both
 * its responder and its QFuture form), so work that takes time is answered 202 and asked for again.
 */
using admin_handler = std::function<QHttpServerResponse(const QHttpServerRequest&)>;

/** Who may call a path. */
enum class admin_access : std::uint8_t {
    anybody,
    operators, ///< Needs the bearer token, when one is set.
};

/** Serves the admin address of one process. */
class admin_server {
  public:
    /** \p is_ready answers /readyz. An empty \p token opens the operators' paths. */
    admin_server(metrics_registry& metrics, std::string token,
                 const std::function<bool()>& is_ready, admin_limits limits = {});
    admin_server(const admin_server&) = delete;
    auto operator=(const admin_server&) -> admin_server& = delete;
    admin_server(admin_server&&) = delete;
    auto operator=(admin_server&&) -> admin_server& = delete;
    ~admin_server();

    /** Adds a path. Call before listen(). */
    void handle(QHttpServerRequest::Method method, const std::string& path, admin_access access,
                admin_handler handler);

    /** Calls \p refresh before each answer of /metrics, for gauges that are read off elsewhere. */
    void refresh_metrics_by(std::function<void()> refresh) { refresh_ = std::move(refresh); }

    /** Starts listening. */
    [[nodiscard]] auto listen(const peer_address& address) -> result<void>;
    /** Returns the port it listens on; of use when it was asked for port 0. */
    [[nodiscard]] auto port() const -> std::uint16_t;

  private:
    [[nodiscard]] auto is_operator(const QHttpServerRequest& request) const -> bool;

    std::unique_ptr<guarded_tcp_server> listener_;
    std::unique_ptr<QHttpServer> server_;
    std::string token_;
    std::function<void()> refresh_ = [] {
    };
    counter& unauthorized_;
};

/** Returns a JSON answer. */
[[nodiscard]] auto json_answer(const QJsonObject& body, int status = 200) -> QHttpServerResponse;
/** Returns a JSON answer with an error's kind and message, and the HTTP status that fits. */
[[nodiscard]] auto error_answer(const error& problem) -> QHttpServerResponse;
/** Reads a request's body as a JSON object. */
[[nodiscard]] auto read_json(const QHttpServerRequest& request) -> result<QJsonObject>;

} // namespace sycamorewinch
