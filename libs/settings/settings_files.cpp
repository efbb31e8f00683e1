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

/** Variables that other programs of the workspace read. */
constexpr std::array<std::string_view, 5> other_variables{
    "SYCAMOREWINCH_CONTROL", "SYCAMOREWINCH_TOKEN_FILE", "SYCAMOREWINCH_OPERATOR",
    "SYCAMOREWINCH_SEEDS", "SYCAMOREWINCH_FROM_SEED"};

auto refuse(std::string_view name, const std::string& value, std::string_view allowed)
    -> tl::unexpected<error>
{
    return failure(error_kind::invalid_input,
                   fmt::format("setting {}: '{}' is not allowed: {}", name, value, allowed));
}

auto check_key_file(const std::string& path) -> result<void>
{
    const auto key = cluster_key::read(path);
    if (!key) {
        return refuse("cluster-key-file", path, key.error().message_);
    }
    return {};
}

auto check_token_file(const std::string& path) -> result<void>
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        return refuse("operator-token-file", path, file.errorString().toStdString());
    }
    if (file.readAll().trimmed().isEmpty()) {
        return refuse("operator-token-file", path, "a file that holds a token");
    }
    return {};
}

/** Returns the nearest folder above \p path that exists, or \p path itself. */
auto nearest_existing(const std::string& path) -> QFileInfo
{
    QFileInfo info(QDir::cleanPath(QFileInfo(QString::fromStdString(path)).absoluteFilePath()));
    while (!info.exists() && !info.isRoot()) {
        info = QFileInfo(info.absolutePath());
    }
    return info;
}

auto check_data_dir(const std::string& path) -> result<void>
{
    const auto found = nearest_existing(path);
    if (!found.isDir()) {
        return refuse("data-dir", path,
                      fmt::format("{} is no folder", found.filePath().toStdString()));
    }
    if (!found.isWritable() || !found.isExecutable()) {
        return refuse("data-dir", path,
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

auto unknown_variables(const std::vector<std::string>& variables) -> std::vector<std::string>
{
    const auto known = setting_variables();
    std::vector<std::string> unknown;
    for (const auto& name : variables) {
        if (name.starts_with("SYCAMOREWINCH_") && std::ranges::find(known, name) == known.end() &&
            std::ranges::find(other_variables, name) == other_variables.end()) {
            unknown.push_back(name);
        }
    }
    return unknown;
}

auto process_variables() -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& name : QProcessEnvironment::systemEnvironment().keys()) {
        names.push_back(name.toStdString());
    }
    return names;
}

} // namespace sycamorewinch
