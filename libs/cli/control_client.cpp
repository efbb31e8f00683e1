#include "cli/control_client.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QThread>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr int rounds = 200;
constexpr unsigned long pause_between_rounds_ms = 30;
constexpr int service_unavailable = 503;
constexpr int pending = 202;

auto make_request(const control_client_options& options, const std::string& address,
                  const std::string& path) -> QNetworkRequest
{
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + address + path)));
    request.setTransferTimeout(options.timeout_ms_);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    if (!options.token_.empty()) {
        request.setRawHeader("Authorization",
                             QByteArray::fromStdString("Bearer " + options.token_));
    }
    return request;
}

auto wait_for(QNetworkReply* reply) -> result<api_answer>
{
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    const auto status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const auto body = QJsonDocument::fromJson(reply->readAll());
    const auto problem = reply->errorString().toStdString();
    reply->deleteLater();
    if (status == 0) {
        return failure(error_kind::unavailable, problem);
    }
    return api_answer{status, body.object()};
}

} // namespace

auto control_client::try_each(const one_try& send) -> result<api_answer>
{
    result<api_answer> last = failure(error_kind::invalid_input, "no control address was given");
    for (int round = 0; round < rounds; ++round) {
        for (const auto& address : options_.addresses_) {
            last = send(address);
            if (last && last->status_ != service_unavailable && last->status_ != pending) {
                return last;
            }
        }
        QThread::msleep(pause_between_rounds_ms);
    }
    if (last) {
        const auto message = last->body_.value(QLatin1String("message")).toString().toStdString();
        return failure(error_kind::unavailable, message);
    }
    return last;
}

auto control_client::get(const std::string& path) -> result<api_answer>
{
    QNetworkAccessManager network;
    return try_each([&](const std::string& address) {
        return wait_for(network.get(make_request(options_, address, path)));
    });
}

auto control_client::post(const std::string& path, const std::string& body) -> result<api_answer>
{
    QNetworkAccessManager network;
    return try_each([&](const std::string& address) {
        return wait_for(
            network.post(make_request(options_, address, path), QByteArray::fromStdString(body)));
    });
}

} // namespace sycamorewinch
