/** \file
 * A listening socket that keeps Qt's HTTP server within bounds: Qt buffers a request of any length
 * and keeps any number of connections.
 *
 * Each connection may send a bounded number of bytes between two answers, and has a bounded time
 * for each request; the number of connections is bounded. What passes a bound is closed and
 * counted by reason in `sycamorewinch_admin_dropped_total`.
 */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include <QTcpServer>

#include "observability/metrics.h"

namespace sycamorewinch {

/** The bounds on the callers of one HTTP server. */
struct admin_limits {
    qint64 request_bytes_ = 64 * 1024; ///< Header and body of one request.
    int connections_ = 64;
    /** For a whole request to arrive, counted from the connection or the last answer. */
    std::chrono::milliseconds request_time_{30'000};
};

/** Why a connection was closed. */
enum class admin_drop_reason : std::uint8_t { request_too_large, too_many_connections, too_slow };

constexpr std::size_t admin_drop_reason_count = 3;

/** Returns the name of \p reason as in the counter's label. */
[[nodiscard]] auto name_of(admin_drop_reason reason) -> std::string_view;

/** Accepts connections and watches over them. */
class guarded_tcp_server : public QTcpServer {
  public:
    guarded_tcp_server(metrics_registry& metrics, admin_limits limits);

  protected:
    void incomingConnection(qintptr descriptor) override;

  private:
    void watch(class QTcpSocket& socket);
    void drop(class QTcpSocket& socket, admin_drop_reason reason);
    void count(admin_drop_reason reason);

    admin_limits limits_;
    std::array<counter*, admin_drop_reason_count> dropped_{};
    counter& open_;
    int open_count_ = 0;
};

} // namespace sycamorewinch
