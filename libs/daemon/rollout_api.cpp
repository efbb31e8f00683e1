#include "daemon/rollout_api.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

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

/** Gives orders and keeps their outcomes until the client asks again, since a handler must answer
 * before an order can be committed. */
class order_submitter {
  public:
    explicit order_submitter(rollout_service& service) : service_(service) {}

    auto submit(const QHttpServerRequest& request) -> QHttpServerResponse
    {
        const auto object = read_json(request);
        if (!object) {
            return error_response(object.error());
        }
        const auto order = read_order(*object);
        drop_old_outcomes();
        const order_key key{order.service_, order.version_, order.duration_};
        if (!outcomes_.contains(key)) {
            give(key, order);
        }
        const auto found = outcomes_.find(key);
        if (!found->second.acknowledged_) {
            return json_response({{"status", "pending"}}, pending_status);
        }
        const auto acknowledged = *found->second.acknowledged_;
        outcomes_.erase(found);
        if (!acknowledged) {
            return error_response(acknowledged.error());
        }
        return json_response(
            {{"service", to_json(order.service_)}, {"version", to_json(order.version_)}});
    }

  private:
    /** Longer than a client waits between two requests, and shorter than it takes an operator to
     * give the same order anew. */
    static constexpr duration outcome_lifetime = std::chrono::seconds(2);

    using order_key = std::tuple<std::string, std::string, duration>;
    struct order_outcome {
        std::optional<result<void>> acknowledged_; ///< Empty: not known yet.
        instant changed_at_{};
    };

    void give(const order_key& key, const rollout_order& order)
    {
        outcomes_[key] = {std::nullopt, monotonic_now()};
        service_.order(order, [this, key](const result<void>& acknowledged) {
            outcomes_[key] = {acknowledged, monotonic_now()};
        });
    }

    void drop_old_outcomes()
    {
        std::erase_if(outcomes_, [now = monotonic_now()](const auto& entry) {
            return now - entry.second.changed_at_ > outcome_lifetime;
        });
    }

    rollout_service& service_;
    std::map<order_key, order_outcome> outcomes_;
};

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
                     const std::function<control_replica&()>& replica)
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
        [submitter = std::make_shared<order_submitter>(service)](const auto& request) {
            return submitter->submit(request);
        });
    add(QHttpServerRequest::Method::Get,
        [&service, replica](const auto&) { return on_list(service, replica().rollouts()); });
}

} // namespace sycamorewinch
