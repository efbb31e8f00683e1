#include "daemon/rollout_api.h"

#include <algorithm>

#include <fmt/core.h>

#include "daemon/operator_json.h"

namespace sycamorewinch {

namespace {

constexpr const char* rollouts_path = "/v1/rollouts";
constexpr int pending_status = 202;
constexpr double milliseconds_per_second = 1'000;

auto to_seconds_json(std::uint64_t milliseconds) -> double
{
    return static_cast<double>(milliseconds) / milliseconds_per_second;
}

auto to_share_json(std::uint32_t share) -> double
{
    return static_cast<double>(share) / whole_share;
}

auto record_json(const rollout_record& record, std::uint64_t elapsed_ms) -> QJsonObject
{
    QJsonArray steps;
    for (const auto& step : record.steps_) {
        steps.append(QJsonObject{{"elapsed_s", to_seconds_json(step.elapsed_ms_)},
                                 {"state", to_json(name_of(step.state_))},
                                 {"share", to_share_json(step.share_)},
                                 {"reason", to_json(step.reason_)}});
    }
    return {{"service", to_json(record.rollout_.service_)},
            {"version", to_json(record.rollout_.new_version_)},
            {"id", static_cast<qint64>(record.rollout_.id_)},
            {"state", to_json(name_of(record.rollout_.state_))},
            {"share", to_share_json(record.rollout_.share_)},
            {"duration_s", to_seconds_json(record.duration_ms_)},
            {"elapsed_s", to_seconds_json(elapsed_ms)},
            {"steps", steps}};
}

auto read_order(const QJsonObject& object) -> rollout_order
{
    const auto seconds = object.value(QLatin1String("duration_s")).toDouble();
    const auto limit = to_seconds(max_rollout_duration);
    rollout_order order;
    order.service_ = object.value(QLatin1String("service")).toString().toStdString();
    order.version_ = object.value(QLatin1String("version")).toString().toStdString();
    // One second above the limit is refused like any longer duration.
    order.duration_ = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, limit + 1)));
    return order;
}

/** Answers at once: an outcome that is not known yet is 202. */
auto on_order(rollout_service& service, const QHttpServerRequest& request) -> QHttpServerResponse
{
    const auto object = read_json(request);
    if (!object) {
        return error_response(object.error());
    }
    const auto order = read_order(*object);
    const auto acknowledged = std::make_shared<std::optional<result<void>>>();
    service.order(order, [acknowledged](const result<void>& given) { *acknowledged = given; });
    if (!*acknowledged) {
        return json_response({{"status", "pending"}}, pending_status);
    }
    if (!**acknowledged) {
        return error_response((*acknowledged)->error());
    }
    return json_response(
        {{"service", to_json(order.service_)}, {"version", to_json(order.version_)}});
}

auto on_list(const rollout_service& service, const rollout_records& records) -> QHttpServerResponse
{
    QJsonArray rollouts;
    for (const auto& [name, record] : records.all()) {
        rollouts.append(record_json(record, service.elapsed_ms(record)));
    }
    return json_response({{"rollouts", rollouts}});
}

} // namespace

void add_rollout_api(admin_server& server, rollout_service& service,
                     std::function<control_replica&()> replica)
{
    const auto add = [&server, replica](auto method, const admin_handler& handler) {
        server.handle(method, rollouts_path, admin_access::operators,
                      [replica, handler](const QHttpServerRequest& request) {
                          const auto& raft = replica().raft_state();
                          if (raft.role() == raft_role::leader) {
                              return handler(request);
                          }
                          const auto leader = raft.leader().empty() ? "none known" : raft.leader();
                          return error_response(
                              {error_kind::unavailable,
                               fmt::format("this replica does not lead; leader: {}", leader)});
                      });
    };
    add(QHttpServerRequest::Method::Post,
        [&service](const auto& request) { return on_order(service, request); });
    add(QHttpServerRequest::Method::Get,
        [&service, replica](const auto&) { return on_list(service, replica().rollouts()); });
}

} // namespace sycamorewinch
