/** \file
 * HTTP client of the control group's admin interface. Leader requests go to each replica in turn
 * until one answers as the leader or the total timeout passes.
 *
 * \code
 * control_client client({.addresses_ = {"10.0.0.1:7003", "10.0.0.2:7003"}, .token_ = token});
 * const auto response = client.get("/v1/table");
 * \endcode
 */
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <QByteArray>
#include <QJsonObject>

#include "base/result.h"

namespace sycamorewinch {

/** A response of the admin interface. */
struct api_response {
    int status_ = 0;
    QJsonObject body_;
};

/** How to reach the control group. */
struct control_client_options {
    std::vector<std::string> addresses_; ///< Admin addresses, IP:PORT.
    std::string token_;                  ///< Operator token; empty: none is sent.
    /** Timeout of one request; the next replica is tried after it. */
    std::chrono::milliseconds request_timeout_{1'500};
    /** Timeout of a leader request; no new round of attempts over the replicas starts after it. */
    std::chrono::milliseconds total_timeout_{20'000};
};

/** The response of one process to `get_texts`. */
struct text_response {
    std::string address_;
    result<std::string> text_;
};

/** Sends requests and blocks until their responses arrive. */
class control_client {
  public:
    explicit control_client(control_client_options options) : options_(std::move(options)) {}

    /** Reads \p path from the leader. */
    [[nodiscard]] auto get(const std::string& path) -> result<api_response>;

    /** Sends \p body to \p path on the leader, and retries while the response is 202 (pending) or
     * missing. The body must carry an edit id: it makes the retries idempotent. */
    [[nodiscard]] auto post(const std::string& path, const std::string& body)
        -> result<api_response>;

    /** Reads \p path from one process, without retries. */
    [[nodiscard]] auto get_at(const std::string& address, const std::string& path)
        -> result<api_response>;

    /** Sends \p body to one process, without retries. */
    [[nodiscard]] auto post_at(const std::string& address, const std::string& path,
                               const std::string& body) -> result<api_response>;

    /** Reads \p path as text from many processes, with a bounded number of requests in flight.
     * Responses are in the order of \p addresses. */
    [[nodiscard]] auto get_texts(const std::vector<std::string>& addresses, const std::string& path)
        -> std::vector<text_response>;

    [[nodiscard]] auto options() const -> const control_client_options& { return options_; }

  private:
    using request_function = std::function<result<api_response>(const std::string& address)>;
    [[nodiscard]] auto try_replicas(const request_function& send) -> result<api_response>;

    control_client_options options_;
    std::size_t preferred_replica_ = 0; ///< Index of the replica that answered last; tried first.
};

} // namespace sycamorewinch
