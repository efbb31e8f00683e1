/** \file
 * Test support: a fake admin interface of the control group on loopback. It keeps a table like the
 * leader of a group of one, and injects faults on request.
 */
#pragma once

#include <map>
#include <memory>
#include <string>

#include <QCoreApplication>
#include <QJsonObject>
#include <QTcpServer>
#include <QTemporaryDir>

#include "cli/commands.h"
#include "table/table.h"

namespace sycamorewinch::testing {

/** A control replica with an admin interface, without replication. */
class fake_control {
  public:
    fake_control();

    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto current() const -> const table& { return current_; }
    /** Accepts \p rows as if another operator had submitted them. */
    void accept(std::vector<row> rows);

    bool is_leader_ = true;
    int pending_responses_ = 0;           ///< Accept requests answered 202 before the outcome.
    bool drops_accept_responses_ = false; ///< Accepts are applied, but the connection is closed
                                          ///< without a response.
    std::string metrics_;                 ///< The body of /metrics.
    QJsonObject progress_;                ///< The body of /v1/progress.
    QJsonObject rollouts_;                ///< The body of GET /v1/rollouts.
    int rollout_status_ = 200;            ///< The status of POST /v1/rollouts.
    std::string rollout_order_;           ///< The latest body of POST /v1/rollouts.
    int accept_request_count_ = 0;

  private:
    struct response {
        int status_ = 0;
        std::string body_;
    };
    void read_request(class QTcpSocket& socket);
    void handle_request(class QTcpSocket& socket, const std::string& path, const std::string& body);
    auto respond_to(const std::string& path, const std::string& body) -> response;
    auto respond_to_accept(const QJsonObject& edit) -> response;

    QTcpServer server_;
    table current_;
    std::map<std::string, response> outcomes_;
};

/** An operator who runs commands against fakes, with a temporary directory for files. */
class test_operator {
  public:
    explicit test_operator(const std::vector<std::string>& addresses);

    /** Runs one command and captures its output. */
    auto run(const command_words& words, const command_options& options = {}) -> exit_status;
    [[nodiscard]] auto path(const std::string& name) const -> std::string;
    [[nodiscard]] auto out() const -> const std::string& { return out_; }
    [[nodiscard]] auto errors() const -> const std::string& { return errors_; }
    /** Returns whether the last command's output or errors contain \p text. */
    [[nodiscard]] auto printed(const std::string& text) const -> bool;

  private:
    QTemporaryDir directory_;
    control_client client_;
    std::string out_;
    std::string errors_;
};

/** Returns a row with path prefix `/SERVICE` and a limit of \p rate calls per second. */
auto make_row(const std::string& service, std::uint32_t rate) -> row;

} // namespace sycamorewinch::testing
