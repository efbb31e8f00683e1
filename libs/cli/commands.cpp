#include "cli/commands.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

#include <QJsonArray>
#include <QJsonDocument>
#include <QThread>
#include <fmt/format.h>

#include "base/random.h"
#include "table/table_csv.h"

namespace sycamorewinch {

namespace {

constexpr int http_ok = 200;
constexpr int http_conflict = 409;
constexpr int watch_rounds = 600;
constexpr unsigned long watch_pause_ms = 100;

using words = std::vector<std::string>;

auto text_of(const QJsonObject& object, const char* name) -> std::string
{
    return object.value(QLatin1String(name)).toString().toStdString();
}

auto number_of(const QJsonObject& object, const char* name) -> std::int64_t
{
    return object.value(QLatin1String(name)).toInteger();
}

auto fail(command_context& context, const std::string& message,
          exit_status status = exit_status::failed) -> exit_status
{
    context.errors_ << "sycamorewinch: " << message << '\n';
    return status;
}

void print_json(command_context& context, const QJsonObject& object)
{
    context.out_ << QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() << '\n';
}

/** Returns an answer with status 200, or notes why there is none. */
auto fetch(command_context& context, const std::string& path) -> std::optional<QJsonObject>
{
    const auto answer = context.client_.get(path);
    if (!answer) {
        fail(context, answer.error().message_);
        return std::nullopt;
    }
    if (answer->status_ != http_ok) {
        fail(context, text_of(answer->body_, "message"));
        return std::nullopt;
    }
    return answer->body_;
}

auto read_file(const std::string& path) -> result<std::string>
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure(error_kind::io, fmt::format("cannot read {}", path));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto show_table(command_context& context, const words&) -> exit_status
{
    const auto table = fetch(context, "/v1/table");
    if (!table) {
        return exit_status::failed;
    }
    if (context.json_) {
        print_json(context, *table);
        return exit_status::done;
    }
    const auto version = table->value(QLatin1String("version")).toObject();
    context.out_ << fmt::format("version {} ({})\n", number_of(version, "number"),
                                text_of(version, "digest"))
                 << text_of(*table, "csv");
    return exit_status::done;
}

void print_conflicts(command_context& context, const QJsonObject& outcome)
{
    context.errors_ << "sycamorewinch: " << text_of(outcome, "message") << '\n';
    for (const auto& value : outcome.value(QLatin1String("conflicts")).toArray()) {
        const auto cell = value.toObject();
        context.errors_ << fmt::format("  {}, column {}: now '{}', yours '{}'\n",
                                       text_of(cell, "service"), text_of(cell, "column"),
                                       text_of(cell, "current"), text_of(cell, "proposed"));
    }
}

/** Sends an accept request for \p csv on top of \p base. */
auto accept_csv(command_context& context, const QJsonObject& base, const std::string& csv)
    -> exit_status
{
    const QJsonObject body{{"edit_id", QString::fromStdString(random_identifier(system_random()))},
                           {"operator", QString::fromStdString(context.operator_)},
                           {"base", base},
                           {"csv", QString::fromStdString(csv)}};
    const auto answer = context.client_.post(
        "/v1/table/accept", QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
    if (!answer) {
        return fail(context, answer.error().message_);
    }
    if (context.json_) {
        print_json(context, answer->body_);
    }
    if (answer->status_ == http_conflict) {
        print_conflicts(context, answer->body_);
        return exit_status::conflict;
    }
    if (answer->status_ != http_ok) {
        return fail(context, text_of(answer->body_, "message"), exit_status::bad_table);
    }
    const auto version = answer->body_.value(QLatin1String("version")).toObject();
    if (!context.json_) {
        context.out_ << fmt::format("accepted version {}\n", number_of(version, "number"));
    }
    return exit_status::done;
}

auto accept_table(command_context& context, const words& arguments) -> exit_status
{
    const auto csv = read_file(arguments[0]);
    if (!csv) {
        return fail(context, csv.error().message_, exit_status::wrong_arguments);
    }
    const auto table = fetch(context, "/v1/table");
    return table ? accept_csv(context, table->value(QLatin1String("version")).toObject(), *csv)
                 : exit_status::failed;
}

auto set_table_cell(command_context& context, const words& arguments) -> exit_status
{
    const auto table = fetch(context, "/v1/table");
    if (!table) {
        return exit_status::failed;
    }
    auto rows = read_csv(text_of(*table, "csv"));
    const auto column = parse_table_column(arguments[1]);
    if (!rows || !column) {
        return fail(context, rows ? column.error().message_ : rows.error().message_,
                    exit_status::wrong_arguments);
    }
    const auto row = std::ranges::find(*rows, arguments[0], &row::service_);
    if (row == rows->end()) {
        return fail(context, fmt::format("the table has no service '{}'", arguments[0]),
                    exit_status::wrong_arguments);
    }
    if (const auto set = set_cell(*row, *column, arguments[2]); !set) {
        return fail(
            context,
            fmt::format("{}, column {}: {}", arguments[0], arguments[1], set.error().message_),
            exit_status::bad_table);
    }
    return accept_csv(context, table->value(QLatin1String("version")).toObject(), write_csv(*rows));
}

void print_zones(command_context& context, const QJsonObject& status)
{
    for (const auto& value : status.value(QLatin1String("zones")).toArray()) {
        const auto zone = value.toObject();
        context.out_ << fmt::format("  {}: {} nodes, all at version {} or later\n",
                                    text_of(zone, "zone"), number_of(zone, "nodes"),
                                    number_of(zone, "lowest_version"));
    }
}

auto show_status(command_context& context, const words&) -> exit_status
{
    const auto status = fetch(context, "/v1/status");
    if (!status) {
        return exit_status::failed;
    }
    if (context.json_) {
        print_json(context, *status);
        return exit_status::done;
    }
    const auto version = status->value(QLatin1String("version")).toObject();
    context.out_ << fmt::format("{} is {}, leader {}, term {}, version {}\n",
                                text_of(*status, "name"), text_of(*status, "role"),
                                text_of(*status, "leader"), number_of(*status, "term"),
                                number_of(version, "number"));
    print_zones(context, *status);
    return exit_status::done;
}

auto is_in_force(const QJsonObject& status) -> bool
{
    const auto version = status.value(QLatin1String("version")).toObject();
    const auto zones = status.value(QLatin1String("zones")).toArray();
    return !zones.isEmpty() && std::ranges::all_of(zones, [&version](const QJsonValue& zone) {
        return number_of(zone.toObject(), "lowest_version") >= number_of(version, "number");
    });
}

auto watch_version(command_context& context, const words&) -> exit_status
{
    for (int round = 0; round < watch_rounds; ++round) {
        const auto status = fetch(context, "/v1/progress");
        if (!status) {
            return exit_status::failed;
        }
        if (is_in_force(*status)) {
            context.out_ << fmt::format(
                "version {} is in force everywhere\n",
                number_of(status->value(QLatin1String("version")).toObject(), "number"));
            print_zones(context, *status);
            return exit_status::done;
        }
        QThread::msleep(watch_pause_ms);
    }
    return fail(context, "the version is not in force everywhere", exit_status::not_in_force);
}

auto show_targets(command_context& context, const words&) -> exit_status
{
    const auto answer = fetch(context, "/v1/targets");
    if (!answer) {
        return exit_status::failed;
    }
    if (context.json_) {
        print_json(context, *answer);
        return exit_status::done;
    }
    for (const auto& value : answer->value(QLatin1String("targets")).toArray()) {
        const auto target = value.toObject();
        context.out_ << fmt::format("{}/{} in {} at {}: {}\n", text_of(target, "service"),
                                    text_of(target, "target"), text_of(target, "zone"),
                                    text_of(target, "node"), text_of(target, "state"));
    }
    return exit_status::done;
}

/** One command of the tool. */
struct command {
    std::string_view name_; ///< Its words.
    std::string_view arguments_;
    std::size_t argument_count_;
    std::string_view help_;
    exit_status (*run_)(command_context&, const words&);
};

constexpr std::array<command, 6> commands{{
    {"table show", "", 0, "print the accepted table", show_table},
    {"table accept", "FILE", 1, "accept the table in a CSV file", accept_table},
    {"table set", "SERVICE COLUMN VALUE", 3, "change one cell and accept", set_table_cell},
    {"status", "", 0, "print the state of the control group", show_status},
    {"watch", "", 0, "wait until the version is in force everywhere", watch_version},
    {"targets", "", 0, "list the known targets", show_targets},
}};

} // namespace

auto run_command(command_context& context, const std::vector<std::string>& words) -> exit_status
{
    for (const auto& command : commands) {
        const auto wanted = static_cast<std::size_t>(std::ranges::count(command.name_, ' ')) + 1;
        if (words.size() < wanted ||
            fmt::format("{}", fmt::join(words.begin(),
                                        words.begin() + static_cast<std::ptrdiff_t>(wanted),
                                        " ")) != command.name_) {
            continue;
        }
        const std::vector<std::string> arguments(
            words.begin() + static_cast<std::ptrdiff_t>(wanted), words.end());
        if (arguments.size() != command.argument_count_) {
            return fail(
                context,
                fmt::format("usage: sycamorewinch {} {}", command.name_, command.arguments_),
                exit_status::wrong_arguments);
        }
        return command.run_(context, arguments);
    }
    return fail(context, "unknown command; see --help", exit_status::wrong_arguments);
}

auto command_help() -> std::string
{
    std::string help;
    for (const auto& command : commands) {
        const auto usage = fmt::format("{} {}", command.name_, command.arguments_);
        help += fmt::format("  {:<34}{}\n", usage, command.help_);
    }
    return help;
}

} // namespace sycamorewinch
