/** \file
 * What every command of the operators' tool works with, and how it reports.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <QJsonObject>

#include "cli/control_client.h"

namespace sycamorewinch {

/** The exit statuses of the operators' tool. */
enum class exit_status : int {
    done = 0,
    failed = 1,          ///< The control group refused or could not be reached.
    wrong_arguments = 2, ///< Unknown command or option, or a file that cannot be used.
    conflict = 3,        ///< Another operator's version came first; nothing was accepted.
    bad_table = 4,       ///< The table has findings; nothing was accepted.
    not_in_force = 5,    ///< watch gave up before the version was in force everywhere.
    outcome_unknown = 6, ///< The edit may have been accepted; send it again by the same id.
};

/** The words after a command's name. */
using command_words = std::vector<std::string>;

/** The options of single commands. */
struct command_options {
    std::string file_;    ///< Edit this working copy instead of the table.
    std::string edit_id_; ///< Empty: the tool makes one.
    std::chrono::seconds watch_timeout_{60};
    std::optional<std::uint64_t> version_; ///< watch: this version instead of the current one.
    bool keep_mine_ = false;               ///< merge: where cells conflict, keep the file's.
};

/** What every command works with. */
struct command_context {
    control_client& client_;
    std::ostream& out_;
    std::ostream& errors_;
    bool json_ = false;
    std::string operator_; ///< Name for the history.
    command_options options_;
};

/** Prints one line of error and returns \p status. */
auto fail(command_context& context, const std::string& message,
          exit_status status = exit_status::failed) -> exit_status;

/** Prints \p object as one line. */
void print_json(command_context& context, const QJsonObject& object);

/** Returns an answer with status 200, or the error in it. */
[[nodiscard]] auto fetch(command_context& context, const std::string& path) -> result<QJsonObject>;

[[nodiscard]] auto json_text(const std::string& text) -> QString;
[[nodiscard]] auto text_of(const QJsonObject& object, const char* name) -> std::string;
[[nodiscard]] auto number_of(const QJsonObject& object, const char* name) -> std::int64_t;

} // namespace sycamorewinch
