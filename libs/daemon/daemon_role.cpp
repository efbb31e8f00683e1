#include "daemon/daemon_role.h"

#include <QFile>
#include <fmt/core.h>

#include "observability/log.h"

namespace sycamorewinch {

namespace {

constexpr const char* loopback_key = "loopback only: no cluster key";

auto read_token(const std::string& path) -> result<std::string>
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        return failure(error_kind::io, fmt::format("cannot read operator token file {}: {}", path,
                                                   file.errorString().toStdString()));
    }
    auto token = file.readAll().trimmed().toStdString();
    if (token.empty()) {
        return failure(error_kind::invalid_input,
                       fmt::format("operator token file {} is empty", path));
    }
    return token;
}

} // namespace

auto read_secrets(const daemon_settings& settings) -> result<daemon_secrets>
{
    auto key = settings.cluster_key_file_.empty() ? cluster_key::create(loopback_key)
                                                  : cluster_key::read(settings.cluster_key_file_);
    if (!key) {
        return tl::unexpected(key.error());
    }
    if (settings.cluster_key_file_.empty()) {
        log_event(log_level::warning, "no_cluster_key",
                  {{"effect", settings.is_network_trusted_
                                  ? "every process that can reach the peer addresses is trusted"
                                  : "listening on loopback addresses only"}});
    }
    if (settings.operator_token_file_.empty()) {
        return daemon_secrets{std::move(*key), {}};
    }
    auto token = read_token(settings.operator_token_file_);
    if (!token) {
        return tl::unexpected(token.error());
    }
    return daemon_secrets{std::move(*key), std::move(*token)};
}

auto start_role(const daemon_settings& settings, const daemon_secrets& secrets,
                const external_interfaces& interfaces) -> result<running_role>
{
    switch (settings.role_) {
    case daemon_role::control:
        return start_control_role(settings, secrets, interfaces);
    case daemon_role::relay:
        return start_relay_role(settings, secrets);
    case daemon_role::node:
        return start_node_role(settings, secrets, interfaces);
    }
    return failure(error_kind::invalid_input, "unknown role");
}

} // namespace sycamorewinch
