#include "daemon/rollout_service.h"

#include <algorithm>

#include <fmt/core.h>

#include "observability/log.h"

namespace sycamorewinch {

namespace {

/** A decision then takes effect within half a second of a report, together with its commit. */
constexpr auto plan_period = std::chrono::milliseconds(100);

auto check_order(const rollout_order& order) -> result<void>
{
    if (order.service_.empty() || order.version_.empty()) {
        return failure(error_kind::invalid_input, "a roll-out needs a service and a version");
    }
    if (order.service_.size() > max_rollout_name_bytes ||
        order.version_.size() > max_rollout_name_bytes) {
        return failure(error_kind::invalid_input,
                       fmt::format("the service and the version must be at most {} bytes long",
                                   max_rollout_name_bytes));
    }
    if (order.duration_ < std::chrono::milliseconds(1) || order.duration_ > max_rollout_duration) {
        return failure(error_kind::invalid_input,
                       fmt::format("the duration must be above 0 and at most {:.0f} s",
                                   to_seconds(max_rollout_duration)));
    }
    return {};
}

auto to_acknowledgement(const rollout_order& order, const result<rollout_outcome>& outcome)
    -> result<void>
{
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    switch (*outcome) {
    case rollout_outcome::applied:
    case rollout_outcome::repeated:
        return {};
    case rollout_outcome::other_running:
        return failure(error_kind::conflict,
                       fmt::format("another roll-out of {} is running", order.service_));
    case rollout_outcome::full:
    case rollout_outcome::superseded:
        break;
    }
    return failure(error_kind::unavailable, "too many services have had roll-outs");
}

} // namespace

rollout_service::rollout_service(metrics_registry& metrics, rollout_service_hooks hooks)
    : metrics_(metrics), hooks_(std::move(hooks))
{
    QObject::connect(&plan_timer_, &QTimer::timeout, &plan_timer_, [this] { plan(); });
}

// May be called while the replica is being created, so it must not access it.
void rollout_service::on_rollouts(const rollout_records& rollouts)
{
    planner_.observe(rollouts, hooks_.now_());
    log_changes(rollouts);
    hooks_.publish_(rollouts.published());
    if (!plan_timer_.isActive()) {
        plan_timer_.start(plan_period);
    }
}

void rollout_service::log_changes(const rollout_records& rollouts)
{
    for (const auto& [service, record] : rollouts.all()) {
        auto& logged = logged_[service];
        if (logged == record.rollout_) {
            continue;
        }
        logged = record.rollout_;
        const auto& reason = record.steps_.empty() ? std::string() : record.steps_.back().reason_;
        log_event(log_level::info, "rollout",
                  {{"service", service},
                   {"version", record.rollout_.new_version_},
                   {"id", record.rollout_.id_},
                   {"state", name_of(record.rollout_.state_)},
                   {"share", record.rollout_.share_},
                   {"elapsed_ms", record.elapsed_ms_},
                   {"reason", reason}});
        metrics_
            .count("sycamorewinch_rollout_steps_total",
                   "Changes of the share or state of roll-outs, by the state after the change.",
                   {{"state", name_of(record.rollout_.state_)}})
            .add();
        metrics_
            .gauge("sycamorewinch_rollout_share",
                   "Calls that go to the new version, in thousandths of the service's calls.",
                   {{"service", service}})
            .set(record.rollout_.share_);
    }
}

void rollout_service::on_own_report(const version_report& report)
{
    on_report("", report);
    hooks_.broadcast_(report);
}

void rollout_service::on_report(const std::string& source, const version_report& report)
{
    planner_.on_report(source, report, hooks_.now_());
}

auto rollout_service::group_view(instant now) -> rollout_group_view
{
    const auto& raft = hooks_.replica_().raft_state();
    if (raft.role() != raft_role::leader) {
        led_term_.reset();
        return {};
    }
    if (led_term_ != raft.term()) {
        led_term_ = raft.term();
        leading_since_ = now;
    }
    return {raft.has_quorum_contact(now), now - leading_since_};
}

void rollout_service::plan()
{
    const auto now = hooks_.now_();
    auto& replica = hooks_.replica_();
    planner_.observe(replica.rollouts(), now);
    const auto view = group_view(now);
    if (!led_term_) {
        return;
    }
    for (const auto& command : planner_.next(replica.rollouts(), view, now)) {
        replica.apply_rollout(
            command, [](const auto&) {}, now); // proposed again if it is not committed
    }
}

auto rollout_service::is_destination(const std::string& service) const -> bool
{
    const auto& rows = hooks_.replica_().state().current()->rows_;
    return std::ranges::any_of(rows, [&service](const row& row) {
        if (row.split_.empty()) {
            return row.service_ == service;
        }
        return std::ranges::any_of(row.split_, [&service](const service_share& share) {
            return share.service_ == service;
        });
    });
}

void rollout_service::order(const rollout_order& order, order_callback callback)
{
    if (auto valid = check_order(order); !valid) {
        callback(valid);
        return;
    }
    if (const auto problem = hooks_.not_ready_reason_()) {
        callback(tl::unexpected(*problem));
        return;
    }
    if (is_destination(order.service_)) {
        propose_order(order, callback);
        return;
    }
    // A leader that was just elected may not have applied the newest table yet.
    hooks_.replica_().prove_current(
        [this, order, callback = std::move(callback)](const result<std::uint64_t>& proved) {
            if (!proved) {
                callback(tl::unexpected(proved.error()));
            }
            else if (!is_destination(order.service_)) {
                callback(failure(error_kind::not_found,
                                 fmt::format("no row names the service {}", order.service_)));
            }
            else {
                propose_order(order, callback);
            }
        },
        hooks_.now_());
}

void rollout_service::propose_order(const rollout_order& order, const order_callback& callback)
{
    const auto now = hooks_.now_();
    const auto milliseconds = static_cast<std::uint64_t>(to_milliseconds(order.duration_));
    planner_.observe(hooks_.replica_().rollouts(), now);
    hooks_.replica_().apply_rollout(
        planner_.make_order(order.service_, order.version_, milliseconds, now),
        [order, callback](const result<rollout_outcome>& outcome) {
            callback(to_acknowledgement(order, outcome));
        },
        now);
}

void rollout_service::read(const std::string& service, rollout_read_callback callback)
{
    hooks_.replica_().prove_current(
        [this, service, callback = std::move(callback)](const result<std::uint64_t>& proved) {
            if (!proved) {
                callback(tl::unexpected(proved.error()));
                return;
            }
            if (const auto* record = hooks_.replica_().rollouts().find(service)) {
                callback(*record);
                return;
            }
            callback(failure(error_kind::not_found,
                             fmt::format("there was no roll-out of the service {}", service)));
        },
        hooks_.now_());
}

} // namespace sycamorewinch
