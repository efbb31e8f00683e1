/** \file
 * For the tests of this library: a small fake of the operators' interface over loopback. It keeps a
 * table as a lone leader would, and misbehaves on demand.
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

/** The fake. */
class fake_control {
  public:
    fake_control();

    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto current() const -> const table& { return current_; }
    /** Accepts \p rows as if another operator had. */
    void accept(std::vector<row> rows);

    bool leads_ = true;
    int pending_answers_ = 0;    ///< Accepts answered 202 before the outcome.
    bool loses_answers_ = false; ///< Accepts are made and their answers lost.
    std::string metrics_;        ///< The text of /metrics.
    QJsonObject progress_;       ///< The answer to /v1/progress.
    int accepts_seen_ = 0;

  private:
    struct answer {
        int status_ = 0;
        std::string body_;
    };
    void serve(class QTcpSocket& socket);
    void on_request(class QTcpSocket& socket, const std::string& path, const std::string& body);
    auto answer_to(const std::string& path, const std::string& body) -> answer;
    auto accept_answer(const QJsonObject& edit) -> answer;

    QTcpServer server_;
    table current_;
    std::map<std::string, answer> outcomes_;
};

/** One operator: a tool that talks to fakes, with its own folder. */
class test_operator {
  public:
    explicit test_operator(const std::vector<std::string>& addresses);

    /** Runs one command; the output is kept. */
    auto run(const command_words& words, const command_options& options = {}) -> exit_status;
    [[nodiscard]] auto path(const std::string& name) const -> std::string;
    [[nodiscard]] auto out() const -> const std::string& { return out_; }
    [[nodiscard]] auto errors() const -> const std::string& { return errors_; }
    /** Returns whether output or errors hold \p text. */
    [[nodiscard]] auto said(const std::string& text) const -> bool;

  private:
    QTemporaryDir folder_;
    control_client client_;
    std::string out_;
    std::string errors_;
};

/** Returns a row with path `/SERVICE` and \p rate calls a second. */
auto row_of(const std::string& service, std::uint32_t rate) -> row;

} // namespace sycamorewinch::testing
