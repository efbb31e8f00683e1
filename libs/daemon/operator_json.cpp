#include "daemon/operator_json.h"

#include "base/field_limits.h"

namespace sycamorewinch {

namespace {

auto string_field(const QJsonObject& object, const char* name) -> std::string
{
    return object.value(QLatin1String(name)).toString().toStdString();
}

} // namespace

auto to_json(std::string_view text) -> QString
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

auto to_json(const table_version& version) -> QJsonObject
{
    return {{"number", static_cast<qint64>(version.number_)},
            {"digest", to_json(to_hex(version.digest_))}};
}

auto to_json(const accept_outcome& outcome) -> QJsonObject
{
    QJsonArray conflicts;
    for (const auto& conflict : outcome.conflicts_) {
        conflicts.append(QJsonObject{{"service", to_json(conflict.service_)},
                                     {"column", to_json(name_of(conflict.column_))},
                                     {"current", to_json(conflict.current_)},
                                     {"proposed", to_json(conflict.proposed_)}});
    }
    return {{"status", to_json(name_of(outcome.status_))},
            {"version", to_json(outcome.version_)},
            {"conflicts", conflicts},
            {"message", to_json(outcome.message_)}};
}

auto to_json(const std::vector<zone_progress>& zones) -> QJsonArray
{
    QJsonArray array;
    for (const auto& zone : zones) {
        QJsonArray names;
        for (const auto& name : zone.at_lowest_names_) {
            names.append(to_json(name));
        }
        array.append(QJsonObject{{"zone", to_json(zone.availability_zone_)},
                                 {"nodes", static_cast<qint64>(zone.nodes_)},
                                 {"lowest_version", static_cast<qint64>(zone.lowest_version_)},
                                 {"at_lowest", static_cast<qint64>(zone.at_lowest_)},
                                 {"names", names}});
    }
    return array;
}

auto to_json(const target_record& target) -> QJsonObject
{
    return {
        {"service", to_json(target.service_)},        {"target", to_json(target.target_)},
        {"zone", to_json(target.availability_zone_)}, {"node", to_json(target.node_address_)},
        {"admin", to_json(target.node_admin_)},       {"state", to_json(name_of(target.state_))},
        {"slots", static_cast<qint64>(target.slots_)}};
}

auto to_json(const history_entry& entry) -> QJsonObject
{
    return {{"version", to_json(entry.version_)},
            {"operator", to_json(entry.operator_)},
            {"edit_id", to_json(entry.edit_id_)},
            {"rows_changed", static_cast<qint64>(entry.rows_changed_)}};
}

auto to_json(const organisation& organisation) -> QJsonObject
{
    constexpr double thousandths = 1'000;
    QJsonObject object{{"name", to_json(organisation.name_)},
                       {"keys", static_cast<qint64>(organisation.keys_.size())}};
    if (organisation.rate_thousandths_ > 0) {
        object.insert("per_second",
                      static_cast<double>(organisation.rate_thousandths_) / thousandths);
        object.insert("burst", static_cast<qint64>(organisation.burst_));
    }
    if (organisation.priority_) {
        object.insert("priority", static_cast<qint64>(*organisation.priority_));
    }
    return object;
}

auto read_accept_command(const QJsonObject& object, const table& current) -> result<accept_command>
{
    accept_command command;
    command.edit_id_ = string_field(object, "edit_id");
    command.operator_ = string_field(object, "operator");
    if (command.edit_id_.empty() || command.edit_id_.size() > max_name_bytes ||
        command.operator_.size() > max_name_bytes) {
        return failure(error_kind::invalid_input,
                       "'edit_id' must have 1 to 64 bytes and 'operator' at most 64");
    }
    const auto base = object.value(QLatin1String("base")).toObject();
    const auto base_digest = parse_digest(string_field(base, "digest"));
    if (!base_digest) {
        return tl::unexpected(base_digest.error());
    }
    const auto number = base.value(QLatin1String("number")).toInteger();
    command.base_ = {static_cast<std::uint64_t>(number), *base_digest};
    auto rows = read_csv(string_field(object, "csv"));
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    command.change_ = difference(
        current, make_table(0, std::move(*rows), current.bounds_, current.organisations_));
    return command;
}

} // namespace sycamorewinch
