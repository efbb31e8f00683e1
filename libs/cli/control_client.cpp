#include "cli/control_client.h"

#include <algorithm>

#include <QElapsedTimer>
#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QThread>
#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr unsigned long retry_interval_ms = 30;
constexpr int http_service_unavailable = 503;
constexpr int http_accepted = 202;
constexpr int http_ok = 200;
constexpr std::size_t max_concurrent_requests = 32;

auto make_request(const control_client_options& options, const std::string& address,
                  const std::string& path) -> QNetworkRequest
{
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + address + path)));
    request.setTransferTimeout(static_cast<int>(options.request_timeout_.count()));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    if (!options.token_.empty()) {
        request.setRawHeader("Authorization",
                             QByteArray::fromStdString("Bearer " + options.token_));
    }
    return request;
}

auto status_of(const QNetworkReply& reply) -> int
{
    return reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

/** Returns the transport error of \p reply, or nothing when a complete response arrived. */
auto transport_error_of(const QNetworkReply& reply, const std::string& address)
    -> std::optional<error>
{
    // Qt also reports HTTP error statuses as errors; those are complete responses of the admin
    // interface, unless the connection broke or timed out before the end of the response.
    const auto code = reply.error();
    const bool was_interrupted = code == QNetworkReply::RemoteHostClosedError ||
                                 code == QNetworkReply::OperationCanceledError ||
                                 code == QNetworkReply::TimeoutError;
    if (status_of(reply) != 0 && !was_interrupted) {
        return std::nullopt;
    }
    return error{error_kind::unavailable,
                 fmt::format("{}: {}", address, reply.errorString().toStdString())};
}

auto wait_for_response(QNetworkReply* reply, const std::string& address) -> result<api_response>
{
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    reply->deleteLater();
    if (auto problem = transport_error_of(*reply, address)) {
        return tl::unexpected(std::move(*problem));
    }
    return api_response{status_of(*reply), QJsonDocument::fromJson(reply->readAll()).object()};
}

auto is_final(const result<api_response>& response) -> bool
{
    return response && response->status_ != http_service_unavailable &&
           response->status_ != http_accepted;
}

/** Fetches a path from a list of addresses, with a bounded number of requests in flight. */
class text_fetcher {
  public:
    text_fetcher(const control_client_options& options, const std::vector<std::string>& addresses,
                 std::string path)
        : options_(options), addresses_(addresses), path_(std::move(path))
    {
    }

    auto run() -> std::vector<text_response>
    {
        for (const auto& address : addresses_) {
            responses_.push_back({address, std::string()});
        }
        for (std::size_t count = 0; count < max_concurrent_requests; ++count) {
            start_next();
        }
        if (finished_count_ < addresses_.size()) {
            loop_.exec();
        }
        return std::move(responses_);
    }

  private:
    void start_next()
    {
        if (next_index_ == addresses_.size()) {
            return;
        }
        const auto index = next_index_++;
        auto* reply = network_.get(make_request(options_, addresses_[index], path_));
        QObject::connect(reply, &QNetworkReply::finished, &loop_,
                         [this, reply, index] { finish(index, *reply); });
    }

    void finish(std::size_t index, QNetworkReply& reply)
    {
        const auto& address = addresses_[index];
        if (auto problem = transport_error_of(reply, address)) {
            responses_[index].text_ = tl::unexpected(std::move(*problem));
        }
        else if (status_of(reply) != http_ok) {
            responses_[index].text_ =
                failure(error_kind::unavailable,
                        fmt::format("{} responded with HTTP status {}", address, status_of(reply)));
        }
        else {
            responses_[index].text_ = reply.readAll().toStdString();
        }
        reply.deleteLater();
        ++finished_count_;
        start_next();
        if (finished_count_ == addresses_.size()) {
            loop_.quit();
        }
    }

    const control_client_options& options_;
    const std::vector<std::string>& addresses_;
    std::string path_;
    std::vector<text_response> responses_;
    std::size_t next_index_ = 0;
    std::size_t finished_count_ = 0;
    QEventLoop loop_;
    QNetworkAccessManager network_;
};

} // namespace

auto control_client::try_replicas(const request_function& send) -> result<api_response>
{
    result<api_response> last_response =
        failure(error_kind::invalid_input, "no control address given");
    QElapsedTimer elapsed;
    elapsed.start();
    const auto& addresses = options_.addresses_;
    while (!addresses.empty()) {
        for (std::size_t step = 0; step < addresses.size(); ++step) {
            const auto index = (preferred_replica_ + step) % addresses.size();
            last_response = send(addresses[index]);
            if (is_final(last_response)) {
                preferred_replica_ = index;
                return last_response;
            }
            if (last_response && last_response->status_ == http_accepted) {
                preferred_replica_ = index; // only the leader returns 202: ask it for the outcome
                break;
            }
        }
        if (elapsed.elapsed() >= options_.total_timeout_.count()) {
            break;
        }
        QThread::msleep(retry_interval_ms);
    }
    if (last_response) {
        const auto message =
            last_response->body_.value(QLatin1String("message")).toString().toStdString();
        return failure(error_kind::unavailable,
                       message.empty() ? "the outcome was still pending at the timeout" : message);
    }
    return last_response;
}

auto control_client::get(const std::string& path) -> result<api_response>
{
    return try_replicas([&](const std::string& address) { return get_at(address, path); });
}

auto control_client::post(const std::string& path, const std::string& body) -> result<api_response>
{
    return try_replicas([&](const std::string& address) { return post_at(address, path, body); });
}

auto control_client::get_at(const std::string& address, const std::string& path)
    -> result<api_response>
{
    QNetworkAccessManager network;
    return wait_for_response(network.get(make_request(options_, address, path)), address);
}

auto control_client::post_at(const std::string& address, const std::string& path,
                             const std::string& body) -> result<api_response>
{
    QNetworkAccessManager network;
    return wait_for_response(
        network.post(make_request(options_, address, path), QByteArray::fromStdString(body)),
        address);
}

auto control_client::get_texts(const std::vector<std::string>& addresses, const std::string& path)
    -> std::vector<text_response>
{
    return text_fetcher(options_, addresses, path).run();
}

} // namespace sycamorewinch
