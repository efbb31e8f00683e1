#include "standin/standin_target.h"

#include <cstdlib>
#include <optional>
#include <set>

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTcpSocket>
#include <QTimer>
#include <fmt/core.h>

namespace sycamorewinch {

/** A request that has not been answered yet. */
struct pending_request {
    message_head head_;
    std::string body_;
    std::weak_ptr<http1_server_connection> connection_;
};

struct standin_target::state {
    standin_target_options options_;
    std::unique_ptr<reuse_port_listener> listener_;
    std::set<std::shared_ptr<http1_server_connection>> connections_;
    std::map<std::string, unsigned> runs_;
    unsigned request_count_ = 0;
    QNetworkAccessManager network_;
    QTimer announcement_timer_;
    QObject context_;
    instant started_ = monotonic_now();
    std::uint64_t start_number_ = static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch());
    std::optional<stated_load> stated_; ///< Set by start().

    void accept(std::unique_ptr<QTcpSocket> socket)
    {
        const auto weak_connection = std::make_shared<std::weak_ptr<http1_server_connection>>();
        server_connection_hooks hooks;
        hooks.on_request_ = [this, weak_connection](message_head head) {
            return on_request(weak_connection->lock(), std::move(head));
        };
        hooks.on_bad_request_ = [weak_connection](http1_parse_error) {
            weak_connection->lock()->abort();
        };
        hooks.on_closed_ = [this, weak_connection] {
            connections_.erase(weak_connection->lock());
        };
        auto connection = http1_server_connection::create(std::move(socket), {}, std::move(hooks));
        *weak_connection = connection;
        connections_.insert(std::move(connection));
    }

    auto on_request(const std::shared_ptr<http1_server_connection>& connection, message_head head)
        -> request_hooks
    {
        auto request = std::make_shared<pending_request>();
        request->head_ = std::move(head);
        request->connection_ = connection;
        request_hooks hooks;
        hooks.on_body_ = [request](std::string_view bytes) {
            request->body_ += bytes;
        };
        hooks.on_body_end_ = [this, request] {
            on_complete_request(request);
        };
        return hooks;
    }

    void on_complete_request(const std::shared_ptr<pending_request>& request)
    {
        if (!options_.crash_path_.empty() && request->head_.path_ == options_.crash_path_) {
            std::_Exit(EXIT_FAILURE); // simulates a request that crashes its target
        }
        const auto key = find_header(request->head_.headers_, "idempotency-key");
        const auto request_name = key.empty() ? request->head_.path_ : std::string(key);
        ++runs_[request_name];
        if (const auto problem = stated_->on_request(monotonic_now());
            problem && options_.on_disallowed_request_) {
            options_.on_disallowed_request_(*problem);
        }
        if (options_.on_run_) {
            options_.on_run_(request_name);
        }
        ++request_count_;
        QTimer::singleShot(options_.delay_, &context_,
                           [this, request] { send_response(*request); });
    }

    void send_response(const pending_request& request)
    {
        const auto connection = request.connection_.lock();
        if (!connection) {
            return;
        }
        const auto body =
            fmt::format("{} {} {} {} {} {}\n", options_.service_, options_.target_, request_count_,
                        request.head_.method_, request.head_.path_, request.body_);
        message_head head;
        head.status_ = 200;
        head.has_body_ = true;
        head.content_length_ = body.size();
        head.headers_ = {{"content-type", "text/plain"},
                         {"x-target", options_.service_ + "/" + options_.target_}};
        for (auto& field : stated_->response_fields(monotonic_now())) {
            head.headers_.push_back(std::move(field));
        }
        connection->respond(std::move(head));
        connection->write(body);
        connection->finish();
    }

    void announce(bool draining)
    {
        if (!options_.node_admin_) {
            return;
        }
        const auto& listen = options_.listen_;
        const QJsonObject body{
            {"service", QString::fromStdString(options_.service_)},
            {"target", QString::fromStdString(options_.target_)},
            {"address", QString::fromStdString(to_text({listen.host_, listener_->port()}))},
            {"slots", static_cast<int>(options_.slots_)},
            {"lease_ms", static_cast<int>(options_.lease_.count())},
            {"started", static_cast<qint64>(start_number_)},
            {"draining", draining}};
        QNetworkRequest request(QUrl(
            QString::fromStdString("http://" + to_text(*options_.node_admin_) + "/v1/targets")));
        request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
        auto* reply = network_.post(request, QJsonDocument(body).toJson(QJsonDocument::Compact));
        QObject::connect(reply, &QNetworkReply::finished, reply, &QNetworkReply::deleteLater);
    }
};

standin_target::standin_target(standin_target_options options) : state_(std::make_unique<state>())
{
    state_->options_ = std::move(options);
}

standin_target::~standin_target() = default;

auto standin_target::start(standin_target_options options)
    -> result<std::unique_ptr<standin_target>>
{
    std::unique_ptr<standin_target> target(new standin_target(std::move(options)));
    auto& state = *target->state_;
    state.stated_.emplace(state.options_.stated_, state.started_);
    auto listener = reuse_port_listener::listen(
        state.options_.listen_, [&state](auto socket) { state.accept(std::move(socket)); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    state.listener_ = std::move(*listener);
    QObject::connect(&state.announcement_timer_, &QTimer::timeout, &state.context_, [&state] {
        state.stated_->on_tick(monotonic_now());
        state.announce(false);
    });
    state.announcement_timer_.start(state.options_.lease_ / 4);
    state.announce(false);
    return target;
}

auto standin_target::port() const -> std::uint16_t
{
    return state_->listener_->port();
}

auto standin_target::runs() const -> const std::map<std::string, unsigned>&
{
    return state_->runs_;
}

void standin_target::announce(bool draining)
{
    if (draining) {
        state_->announcement_timer_.stop();
    }
    state_->announce(draining);
}

} // namespace sycamorewinch
