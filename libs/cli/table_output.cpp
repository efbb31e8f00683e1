#include "cli/table_output.h"

#include <ostream>

#include <fmt/core.h>

#include "cli/command_context.h"

namespace sycamorewinch {

namespace {

auto column_json(table_column column) -> QString
{
    return json_text(std::string(name_of(column)));
}

} // namespace

auto json_of(const table_version& version) -> QJsonObject
{
    return {{"number", static_cast<qint64>(version.number_)},
            {"digest", json_text(to_hex(version.digest_))}};
}

auto json_of(const std::vector<cell_change>& changes) -> QJsonArray
{
    QJsonArray array;
    for (const auto& change : changes) {
        array.append(QJsonObject{{"service", json_text(change.service_)},
                                 {"column", column_json(change.column_)},
                                 {"before", json_text(change.before_)},
                                 {"after", json_text(change.after_)}});
    }
    return array;
}

auto json_of(const std::vector<merge_conflict>& conflicts) -> QJsonArray
{
    QJsonArray array;
    for (const auto& conflict : conflicts) {
        array.append(QJsonObject{{"service", json_text(conflict.service_)},
                                 {"column", column_json(conflict.column_)},
                                 {"base", json_text(conflict.base_)},
                                 {"theirs", json_text(conflict.theirs_)},
                                 {"yours", json_text(conflict.mine_)}});
    }
    return array;
}

auto json_of(const std::vector<table_finding>& findings) -> QJsonArray
{
    QJsonArray array;
    for (const auto& finding : findings) {
        array.append(QJsonObject{{"service", json_text(finding.service_)},
                                 {"column", column_json(finding.column_)},
                                 {"message", json_text(finding.message_)}});
    }
    return array;
}

void print_changes(std::ostream& out, const std::vector<cell_change>& changes)
{
    for (const auto& change : changes) {
        out << fmt::format("  {}, column {}: '{}' -> '{}'\n", change.service_,
                           name_of(change.column_), change.before_, change.after_);
    }
}

void print_conflicts(std::ostream& out, const std::vector<merge_conflict>& conflicts)
{
    for (const auto& conflict : conflicts) {
        out << fmt::format("  {}, column {}: base '{}', theirs '{}', yours '{}'\n",
                           conflict.service_, name_of(conflict.column_), conflict.base_,
                           conflict.theirs_, conflict.mine_);
    }
}

} // namespace sycamorewinch
