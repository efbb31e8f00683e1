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

constexpr unsigned long pause_between_rounds_ms = 30;
constexpr int service_unavailable = 503;
constexpr int pending = 202;
constexpr int http_ok = 200;
constexpr std::size_t texts_at_a_time = 32;

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

/** Returns why there is no whole answer, or nothing when there is one. */
auto problem_of(const QNetworkReply& reply, const std::string& address) -> std::optional<error>
{
    // An error with a status is the interface's own answer, unless it was cut short.
    const auto code = reply.error();
    const bool was_cut = code == QNetworkReply::RemoteHostClosedError ||
                         code == QNetworkReply::OperationCanceledError ||
                         code == QNetworkReply::TimeoutError;
    if (status_of(reply) != 0 && !was_cut) {
        return std::nullopt;
    }
    return error{error_kind::unavailable,
                 fmt::format("{}: {}", address, reply.errorString().toStdString())};
}

auto wait_for(QNetworkReply* reply, const std::string& address) -> result<api_answer>
{
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    reply->deleteLater();
    if (auto problem = problem_of(*reply, address)) {
        return tl::unexpected(std::move(*problem));
    }
    return api_answer{status_of(*reply), QJsonDocument::fromJson(reply->readAll()).object()};
}

auto is_final(const result<api_answer>& answer) -> bool
{
    return answer && answer->status_ != service_unavailable && answer->status_ != pending;
}

/** Reads texts from a list of addresses, a bounded number at a time. */
class text_fetcher {
  public:
    text_fetcher(const control_client_options& options, const std::vector<std::string>& addresses,
                 std::string path)
        : options_(options), addresses_(addresses), path_(std::move(path))
    {
    }

    auto run() -> std::vector<text_answer>
    {
        for (const auto& address : addresses_) {
            answers_.push_back({address, std::string()});
        }
        for (std::size_t count = 0; count < texts_at_a_time; ++count) {
            start_next();
        }
        if (finished_ < addresses_.size()) {
            loop_.exec();
        }
        return std::move(answers_);
    }

  private:
    void start_next()
    {
        if (next_ == addresses_.size()) {
            return;
        }
        const auto index = next_++;
        auto* reply = network_.get(make_request(options_, addresses_[index], path_));
        QObject::connect(reply, &QNetworkReply::finished, &loop_,
                         [this, reply, index] { finish(index, *reply); });
    }

    void finish(std::size_t index, QNetworkReply& reply)
    {
        const auto& address = addresses_[index];
        if (auto problem = problem_of(reply, address)) {
            answers_[index].text_ = tl::unexpected(std::move(*problem));
        }
        else if (status_of(reply) != http_ok) {
            answers_[index].text_ =
                failure(error_kind::unavailable,
                        fmt::format("{} answers with status {}", address, status_of(reply)));
        }
        else {
            answers_[index].text_ = reply.readAll().toStdString();
        }
        reply.deleteLater();
        ++finished_;
        start_next();
        if (finished_ == addresses_.size()) {
            loop_.quit();
        }
    }

    const control_client_options& options_;
    const std::vector<std::string>& addresses_;
    std::string path_;
    std::vector<text_answer> answers_;
    std::size_t next_ = 0;
    std::size_t finished_ = 0;
    QEventLoop loop_;
    QNetworkAccessManager network_;
};

} // namespace

auto control_client::try_each(const one_try& send) -> result<api_answer>
{
    result<api_answer> last = failure(error_kind::invalid_input, "no control address was given");
    QElapsedTimer elapsed;
    elapsed.start();
    const auto& addresses = options_.addresses_;
    while (!addresses.empty()) {
        for (std::size_t step = 0; step < addresses.size(); ++step) {
            const auto index = (preferred_ + step) % addresses.size();
            last = send(addresses[index]);
            if (is_final(last)) {
                preferred_ = index;
                return last;
            }
            if (last && last->status_ == pending) {
                preferred_ = index; // this one leads and will know the outcome
                break;
            }
        }
        if (elapsed.elapsed() >= options_.total_timeout_.count()) {
            break;
        }
        QThread::msleep(pause_between_rounds_ms);
    }
    if (last) {
        const auto message = last->body_.value(QLatin1String("message")).toString().toStdString();
        return failure(error_kind::unavailable,
                       message.empty() ? "the outcome is still pending" : message);
    }
    return last;
}

auto control_client::get(const std::string& path) -> result<api_answer>
{
    return try_each([&](const std::string& address) { return get_at(address, path); });
}

auto control_client::post(const std::string& path, const std::string& body) -> result<api_answer>
{
    return try_each([&](const std::string& address) { return post_at(address, path, body); });
}

auto control_client::get_at(const std::string& address, const std::string& path)
    -> result<api_answer>
{
    QNetworkAccessManager network;
    return wait_for(network.get(make_request(options_, address, path)), address);
}

auto control_client::post_at(const std::string& address, const std::string& path,
                             const std::string& body) -> result<api_answer>
{
    QNetworkAccessManager network;
    return wait_for(
        network.post(make_request(options_, address, path), QByteArray::fromStdString(body)),
        address);
}

auto control_client::get_texts(const std::vector<std::string>& addresses, const std::string& path)
    -> std::vector<text_answer>
{
    return text_fetcher(options_, addresses, path).run();
}

} // namespace sycamorewinch
