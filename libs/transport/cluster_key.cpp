#include "transport/cluster_key.h"

#include <QFile>
#include <QMessageAuthenticationCode>
#include <QRandomGenerator>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr std::size_t min_secret_bytes = 16;

auto to_byte_array(std::string_view text) -> QByteArray
{
    return QByteArray(text.data(), static_cast<qsizetype>(text.size()));
}

} // namespace

auto cluster_key::read(const std::string& path) -> result<cluster_key>
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        return failure(error_kind::io, fmt::format("cannot read the cluster key file {}: {}", path,
                                                   file.errorString().toStdString()));
    }
    return create(file.readAll().trimmed().toStdString());
}

auto cluster_key::create(std::string secret) -> result<cluster_key>
{
    if (secret.size() < min_secret_bytes) {
        return failure(error_kind::invalid_input,
                       fmt::format("a cluster key must have at least {} bytes", min_secret_bytes));
    }
    return cluster_key(std::move(secret));
}

auto cluster_key::prove(proof_side side, std::string_view client_nonce,
                        std::string_view server_nonce) const -> std::string
{
    QMessageAuthenticationCode code(QCryptographicHash::Sha256, to_byte_array(secret_));
    code.addData(side == proof_side::client ? "client|" : "server|");
    code.addData(to_byte_array(client_nonce));
    code.addData("|");
    code.addData(to_byte_array(server_nonce));
    return code.result().toHex().toStdString();
}

auto cluster_key::verify(proof_side side, std::string_view client_nonce,
                         std::string_view server_nonce, std::string_view proof) const -> bool
{
    const auto expected = prove(side, client_nonce, server_nonce);
    if (expected.size() != proof.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < proof.size(); ++index) {
        difference |= static_cast<unsigned>(expected[index]) ^ static_cast<unsigned>(proof[index]);
    }
    return difference == 0;
}

auto make_nonce() -> std::string
{
    auto& random = *QRandomGenerator::system();
    return fmt::format("{:016x}{:016x}", random.generate64(), random.generate64());
}

} // namespace sycamorewinch
