#include "table/organisation.h"

#include <QByteArrayView>
#include <QCryptographicHash>
#include <QtEndian>

namespace sycamorewinch {

auto digest_of_api_key(std::string_view api_key) -> digest
{
    const auto hash = QCryptographicHash::hash(
        QByteArrayView(api_key.data(), static_cast<qsizetype>(api_key.size())),
        QCryptographicHash::Sha256);
    return {qFromBigEndian<quint64>(hash.constData()),
            qFromBigEndian<quint64>(hash.constData() + sizeof(quint64))};
}

} // namespace sycamorewinch
