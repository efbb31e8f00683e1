#include "cli/accept_edit.h"

#include <ostream>

#include <QJsonArray>
#include <QJsonDocument>
#include <fmt/core.h>

#include "base/random.h"
#include "cli/table_output.h"

namespace sycamorewinch {

namespace {

constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_conflict = 409;
constexpr int http_unprocessable = 422;

auto make_accept_body(const command_context& context, const table_edit& edit) -> std::string
{
    const auto& version = edit.base_.version_;
    const QJsonObject base{{"number", static_cast<qint64>(version.number_)},
                           {"digest", json_text(to_hex(version.digest_))}};
    const QJsonObject body{{"edit_id", json_text(edit.edit_id_)},
                           {"operator", json_text(context.operator_)},
                           {"base", base},
                           {"csv", json_text(write_csv(edit.mine_.rows_))}};
    return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

auto report_accepted(command_context& context, const QJsonObject& outcome, const table_edit& edit)
    -> edit_result
{
    const auto object = outcome.value(QLatin1String("version")).toObject();
    const auto digest = parse_digest(text_of(object, "digest"));
    if (!digest) {
        return {fail(context, "the accept response has no valid version digest",
                     exit_status::outcome_unknown),
                {}};
    }
    const table_version version{static_cast<std::uint64_t>(number_of(object, "number")), *digest};
    if (context.json_) {
        QJsonObject response = outcome;
        response.insert("edit_id", json_text(edit.edit_id_));
        print_json(context, response);
    }
    else {
        context.out_ << fmt::format("accepted version {}\n", to_text(version));
    }
    return {exit_status::done, version};
}

auto report_conflict(command_context& context, const table_edit& edit) -> edit_result
{
    const auto theirs = fetch_table(context);
    if (!theirs) {
        return {fail(context,
                     fmt::format("another version was accepted first, and reading it "
                                 "failed: {}",
                                 theirs.error().message_),
                     exit_status::conflict),
                {}};
    }
    const auto merged = merge_tables(edit.base_, *theirs, edit.mine_);
    if (context.json_) {
        print_json(context, {{"status", "conflict"},
                             {"version", json_of(theirs->version_)},
                             {"base", json_of(edit.base_.version_)},
                             {"conflicts", json_of(merged.conflicts_)},
                             {"theirs", json_of(changed_cells(edit.base_, *theirs))}});
        return {exit_status::conflict, theirs->version_};
    }
    fail(context, fmt::format("not accepted: the table is at version {}, your edit is based on {}",
                              to_text(theirs->version_), to_text(edit.base_.version_)));
    print_conflicts(context.errors_, merged.conflicts_);
    context.errors_ << "changed by others since your base version:\n";
    print_changes(context.errors_, changed_cells(edit.base_, *theirs));
    return {exit_status::conflict, theirs->version_};
}

} // namespace

auto fetch_table(command_context& context) -> result<table>
{
    return fetch(context, "/v1/table").and_then([](const QJsonObject& response) -> result<table> {
        auto rows = read_csv(text_of(response, "csv"));
        if (!rows) {
            return tl::unexpected(rows.error());
        }
        const auto version = response.value(QLatin1String("version")).toObject();
        auto read =
            make_table(static_cast<std::uint64_t>(number_of(version, "number")), std::move(*rows));
        if (to_hex(read.version_.digest_) != text_of(version, "digest")) {
            return failure(error_kind::corrupt,
                           "the table's digest does not match its rows; check "
                           "that the tool and the daemons have the same release");
        }
        return read;
    });
}

auto choose_edit_id(const command_context& context) -> std::string
{
    const auto& given = context.options_.edit_id_;
    return given.empty() ? random_identifier(system_random()) : given;
}

auto report_findings(command_context& context, const std::vector<row>& rows) -> exit_status
{
    const auto findings = check_table(rows);
    if (findings.empty()) {
        return exit_status::done;
    }
    if (context.json_) {
        print_json(context, {{"status", "bad_table"}, {"findings", json_of(findings)}});
    }
    for (const auto& finding : findings) {
        fail(context, fmt::format("{}, column {}: {}", finding.service_, name_of(finding.column_),
                                  finding.message_));
    }
    return exit_status::bad_table;
}

auto send_edit(command_context& context, const table_edit& edit) -> edit_result
{
    const auto response = context.client_.post("/v1/table/accept", make_accept_body(context, edit));
    if (!response) {
        return {fail(context,
                     fmt::format("the outcome of edit {} is unknown: {}", edit.edit_id_,
                                 response.error().message_),
                     exit_status::outcome_unknown),
                {}};
    }
    switch (response->status_) {
    case http_ok:
        return report_accepted(context, response->body_, edit);
    case http_conflict:
        return report_conflict(context, edit);
    case http_bad_request:
    case http_unprocessable:
        if (context.json_) {
            print_json(context, response->body_);
        }
        return {fail(context, text_of(response->body_, "message"), exit_status::bad_table), {}};
    default:
        return {fail(context, text_of(response->body_, "message")), {}};
    }
}

} // namespace sycamorewinch
