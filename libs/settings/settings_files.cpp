#include "settings/settings_files.h"

#include <algorithm>
#include <array>

#include <QDir>
#include <QFile>
#include <QFileInfo>
#include <QProcessEnvironment>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

/** SYCAMOREWINCH_ variables that are read by other programs of this project. */
constexpr std::array<std::string_view, 5> other_program_variables{
    "SYCAMOREWINCH_CONTROL", "SYCAMOREWINCH_TOKEN_FILE", "SYCAMOREWINCH_OPERATOR",
    "SYCAMOREWINCH_SEEDS", "SYCAMOREWINCH_FROM_SEED"};

auto invalid_setting(std::string_view name, const std::string& value, std::string_view reason)
    -> tl::unexpected<error>
{
    return failure(error_kind::invalid_input,
                   fmt::format("setting {}: '{}' is not allowed: {}", name, value, reason));
}

auto check_key_file(const std::string& path) -> result<void>
{
    const auto key = cluster_key::read(path);
    if (!key) {
        return invalid_setting("cluster-key-file", path, key.error().message_);
    }
    return {};
}

auto check_token_file(const std::string& path) -> result<void>
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        return invalid_setting("operator-token-file", path, file.errorString().toStdString());
    }
    if (file.readAll().trimmed().isEmpty()) {
        return invalid_setting("operator-token-file", path,
                               "the file is empty; it must hold a token");
    }
    return {};
}

/** Returns \p path if it exists, else its nearest existing ancestor directory. */
auto nearest_existing_ancestor(const std::string& path) -> QFileInfo
{
    QFileInfo info(QDir::cleanPath(QFileInfo(QString::fromStdString(path)).absoluteFilePath()));
    while (!info.exists() && !info.isRoot()) {
        info = QFileInfo(info.absolutePath());
    }
    return info;
}

auto check_data_dir(const std::string& path) -> result<void>
{
    const auto found = nearest_existing_ancestor(path);
    if (!found.isDir()) {
        return invalid_setting(
            "data-dir", path, fmt::format("{} is not a directory", found.filePath().toStdString()));
    }
    if (!found.isWritable() || !found.isExecutable()) {
        return invalid_setting("data-dir", path,
                               fmt::format("{} is not writable", found.filePath().toStdString()));
    }
    return {};
}

} // namespace

auto check_setting_files(const daemon_settings& settings) -> result<void>
{
    result<void> checked;
    if (!settings.cluster_key_file_.empty()) {
        checked = check_key_file(settings.cluster_key_file_);
    }
    if (checked && !settings.operator_token_file_.empty()) {
        checked = check_token_file(settings.operator_token_file_);
    }
    if (checked && settings.role_ == daemon_role::control) {
        checked = check_data_dir(settings.data_dir_);
    }
    return checked;
}

auto find_unknown_variables(const std::vector<std::string>& variables) -> std::vector<std::string>
{
    const auto known = setting_variable_names();
    std::vector<std::string> unknown;
    for (const auto& name : variables) {
        if (name.starts_with("SYCAMOREWINCH_") && std::ranges::find(known, name) == known.end() &&
            std::ranges::find(other_program_variables, name) == other_program_variables.end()) {
            unknown.push_back(name);
        }
    }
    return unknown;
}

auto environment_variable_names() -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& name : QProcessEnvironment::systemEnvironment().keys()) {
        names.push_back(name.toStdString());
    }
    return names;
}

} // namespace sycamorewinch
