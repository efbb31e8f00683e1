/** \file
 * A listening socket that enforces resource limits for QHttpServer, which itself buffers requests
 * of any length and accepts any number of connections.
 *
 * Limits the bytes that a connection may send between two responses, the time for each request to
 * arrive, and the number of connections. A connection that exceeds a limit is closed and counted by
 * reason in `sycamorewinch_admin_dropped_total`.
 */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include <QTcpServer>

#include "observability/metrics.h"

namespace sycamorewinch {

/** Limits on the clients of one HTTP server. */
struct admin_limits {
    qint64 max_request_bytes_ = 64 * 1024; ///< Header and body of one request.
    int max_connections_ = 64;
    /** For a whole request to arrive, measured from the connection or the last response. */
    std::chrono::milliseconds request_timeout_{30'000};
};

/** Why a connection was closed. */
enum class admin_drop_reason : std::uint8_t { request_too_large, too_many_connections, too_slow };

constexpr std::size_t admin_drop_reason_count = 3;

/** Returns the value of the counter's label for \p reason. */
[[nodiscard]] auto name_of(admin_drop_reason reason) -> std::string_view;

/** Accepts connections and enforces the limits on them. */
class limited_tcp_server : public QTcpServer {
  public:
    limited_tcp_server(metrics_registry& metrics, admin_limits limits);

  protected:
    void incomingConnection(qintptr descriptor) override;

  private:
    void watch(class QTcpSocket& socket);
    void drop(class QTcpSocket& socket, admin_drop_reason reason);
    void count(admin_drop_reason reason);

    admin_limits limits_;
    std::array<counter*, admin_drop_reason_count> dropped_{};
    counter& connection_gauge_;
    int connection_count_ = 0;
};

} // namespace sycamorewinch
