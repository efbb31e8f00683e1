/** \file
 * Calls the operators' interface of the control group: tries each replica until one answers as the
 * leader, or the time is up.
 *
 * \code
 * control_client client({.addresses_ = {"10.0.0.1:7003", "10.0.0.2:7003"}, .token_ = token});
 * const auto answer = client.get("/v1/table");
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

/** An answer of the interface. */
struct api_answer {
    int status_ = 0;
    QJsonObject body_;
};

/** How to reach the control group. */
struct control_client_options {
    std::vector<std::string> addresses_; ///< Admin addresses, IP:PORT.
    std::string token_;                  ///< Empty: none is sent.
    /** Of one request to one replica: a silent one is passed over after this. */
    std::chrono::milliseconds request_timeout_{1'500};
    /** Of the whole search for a replica that answers. */
    std::chrono::milliseconds total_timeout_{20'000};
};

/** What one of many processes answered. */
struct text_answer {
    std::string address_;
    result<std::string> text_;
};

/** Sends requests and waits for the answers. */
class control_client {
  public:
    explicit control_client(control_client_options options) : options_(std::move(options)) {}

    /** Reads \p path from the leader. */
    [[nodiscard]] auto get(const std::string& path) -> result<api_answer>;

    /** Sends \p body to \p path, again and again while the answer is 202 (pending) or missing. The
     * body must carry an edit id, which makes that safe. */
    [[nodiscard]] auto post(const std::string& path, const std::string& body) -> result<api_answer>;

    /** Reads \p path from one process, once. */
    [[nodiscard]] auto get_at(const std::string& address, const std::string& path)
        -> result<api_answer>;

    /** Sends \p body to one process, once. */
    [[nodiscard]] auto post_at(const std::string& address, const std::string& path,
                               const std::string& body) -> result<api_answer>;

    /** Reads \p path as text from many processes, some at a time; answers come in the order of
     * \p addresses. */
    [[nodiscard]] auto get_texts(const std::vector<std::string>& addresses, const std::string& path)
        -> std::vector<text_answer>;

    [[nodiscard]] auto options() const -> const control_client_options& { return options_; }

  private:
    using one_try = std::function<result<api_answer>(const std::string& address)>;
    [[nodiscard]] auto try_each(const one_try& send) -> result<api_answer>;

    control_client_options options_;
    std::size_t preferred_ = 0; ///< The replica that answered last.
};

} // namespace sycamorewinch
