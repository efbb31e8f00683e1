/** \file
 * A listening socket that enforces resource limits for QHttpServer, which itself buffers requests
 * of any length and accepts any number of connections.
 *
 * Limits the bytes that a connection may send between two responses, the time for each request to
 * arrive, the number of connections, and the bytes of all of them. A new connection displaces the
 * one that has been idle for the longest time. A connection that exceeds a limit is closed and
 * counted by reason in `sycamorewinch_admin_dropped_total`.
 */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

#include <QTcpServer>

#include "observability/metrics.h"
#include "resources/resource_guard.h"

namespace sycamorewinch {

/** Limits on the clients of one HTTP server. */
struct admin_limits {
    qint64 max_request_bytes_ = 64 * 1024; ///< Header and body of one request.
    std::size_t max_connections_ = 64;
    /** For a whole request to arrive, measured from the connection or the last response. */
    std::chrono::milliseconds request_timeout_{30'000};
    memory_account* account_ = nullptr; ///< Of the process; null: one of its own.
};

/** Why a connection was closed. */
enum class admin_drop_reason : std::uint8_t {
    request_too_large,
    too_many_connections, ///< For a newer connection, unless it is being answered.
    too_slow,
    memory, ///< The process holds as much for clients as it may.
};

constexpr std::size_t admin_drop_reason_count = 4;

/** Returns the value of the counter's label for \p reason. */
[[nodiscard]] auto name_of(admin_drop_reason reason) -> std::string_view;

/** Accepts connections and enforces the limits on them. */
class limited_tcp_server : public QTcpServer {
  public:
    limited_tcp_server(metrics_registry& metrics, admin_limits limits);
    limited_tcp_server(const limited_tcp_server&) = delete;
    auto operator=(const limited_tcp_server&) -> limited_tcp_server& = delete;
    limited_tcp_server(limited_tcp_server&&) = delete;
    auto operator=(limited_tcp_server&&) -> limited_tcp_server& = delete;
    /** Closes every connection, while the guard that they use exists. */
    ~limited_tcp_server() override;

  protected:
    void incomingConnection(qintptr descriptor) override;

  private:
    void watch(class QTcpSocket& socket);
    void drop(class QTcpSocket& socket, admin_drop_reason reason);
    void count(admin_drop_reason reason);

    admin_limits limits_;
    std::unique_ptr<memory_account> own_account_; ///< Without one of the process.
    resource_guard guard_;
    std::array<counter*, admin_drop_reason_count> dropped_{};
    counter& connection_gauge_;
    int connection_count_ = 0;
};

} // namespace sycamorewinch
