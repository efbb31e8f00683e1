/** \file
 * Calls the operators' interface of the control group: tries each replica until one answers as the
 * leader.
 */
#pragma once

#include <functional>
#include <string>
#include <vector>

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
    int timeout_ms_ = 5'000;             ///< Of one request to one replica.
};

/** Sends requests and waits for the answers. */
class control_client {
  public:
    explicit control_client(control_client_options options) : options_(std::move(options)) {}

    /** Reads \p path. */
    [[nodiscard]] auto get(const std::string& path) -> result<api_answer>;

    /** Sends \p body to \p path, again and again while the answer is 202 (pending). The body must
     * carry an edit id, which makes that safe. */
    [[nodiscard]] auto post(const std::string& path, const std::string& body) -> result<api_answer>;

  private:
    using one_try = std::function<result<api_answer>(const std::string& address)>;
    [[nodiscard]] auto try_each(const one_try& send) -> result<api_answer>;

    control_client_options options_;
};

} // namespace sycamorewinch
