#include "daemon/daemon_role.h"

#include <QDateTime>
#include <QTimer>

#include "daemon/admin_server.h"
#include "daemon/announcement_json.h"
#include "daemon/client_limits.h"
#include "daemon/coalesced_call.h"
#include "daemon/drain_api.h"
#include "daemon/node_shutdown.h"
#include "daemon/rollout_measurement.h"
#include "daemon/run_channels.h"
#include "daemon/target_registry.h"
#include "daemon/upstream_link.h"
#include "membership/target_directory.h"
#include "observability/log.h"
#include "request_path/node_worker.h"

namespace sycamorewinch {

namespace {

constexpr auto lease_check_period = std::chrono::milliseconds(500);
constexpr auto run_check_period = std::chrono::milliseconds(50);
/** How long changes of other nodes' targets wait for further ones before the routes are rebuilt.
 * Until then a call to a target that has left is refused by the node beside it and retried. */
constexpr auto target_change_delay = std::chrono::milliseconds(50);
/** Time to accept requests that callers sent before they learned of the shutdown. */
constexpr auto default_shutdown_grace = std::chrono::milliseconds(1'000);
/** The same after a leave notice; covers only the requests still in transit. */
constexpr auto shutdown_grace_after_notice = std::chrono::milliseconds(200);

/** The admission control and load measurements of a target beside this node, kept across
 * announcements. */
struct local_target_state {
    std::shared_ptr<admission_controller> admission_;
    std::shared_ptr<target_meter> meter_;
    std::uint32_t starts_ = 0; ///< As in registered_target.
    instant cold_start_end_{}; ///< Of the present start.
};

/** A node: subscribes to an upstream, registers targets, and serves calls on its workers. */
class node_role {
  public:
    node_role(const daemon_settings& settings, const daemon_secrets& secrets,
              external_interfaces interfaces)
        : settings_(settings), secrets_(secrets), interfaces_(std::move(interfaces)),
          resources_(settings, metrics_), state_(to_text(settings.listen_peers_), metrics_),
          registry_(settings.availability_zone_, to_text(settings.listen_peers_),
                    static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch()),
                    to_text(settings.listen_admin_)),
          admin_(
              metrics_, secrets.operator_token_, [this] { return is_ready(); },
              resources_.limits_of_admin(admin_limits().max_request_bytes_)),
          link_(settings.upstreams_, secrets.key_,
                {settings.name_, settings.availability_zone_, false, system_random(),
                 settings.proof_period_, settings.proof_timeout_},
                metrics_,
                {[this](const auto& output) { on_output(output); },
                 [this](bool has_changed_upstream) {
                     on_connected(has_changed_upstream);
                 }}),
          run_client_({to_text(settings.listen_peers_),
                       static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch())}),
          run_uplink_({[this] {
                           run_client_.on_connected(monotonic_now());
                           send_runs();
                       },
                       [this] { run_client_.on_disconnected(monotonic_now()); },
                       [this](const auto& results) {
                           run_client_.on_results(results, monotonic_now());
                           send_runs();
                       }}),
          version_(metrics_.gauge("sycamorewinch_table_version",
                                  "Number of the table version in force.")),
          last_proof_(metrics_.gauge("sycamorewinch_last_proof_timestamp_seconds",
                                     "Unix time of the last proof of the current version; 0 before "
                                     "the first."))
    {
        admin_.handle(QHttpServerRequest::Method::Post, "/v1/targets",
                      admin_access::unauthenticated,
                      [this](const auto& request) { return handle_announcement(request); });
        add_drain_api(admin_, registry_, [this](const auto& changed) {
            publish_local_targets();
            propagate_changes(changed);
        });
        auto& in_flight = metrics_.gauge("sycamorewinch_calls_in_flight",
                                         "Calls in progress, from callers and from other nodes.");
        admin_.set_metrics_refresh([this, &in_flight] {
            in_flight.set(static_cast<std::uint64_t>(state_.calls_in_flight().load()));
            refresh_limit_gauges();
        });
        QObject::connect(&lease_timer_, &QTimer::timeout, &lease_timer_,
                         [this] { check_leases(); });
        QObject::connect(&run_timer_, &QTimer::timeout, &run_timer_, [this] {
            run_client_.tick(monotonic_now());
            send_runs();
        });
        run_timer_.setInterval(run_check_period);
        QObject::connect(&version_timer_, &QTimer::timeout, &version_timer_,
                         [this] { report_versions(); });
        version_timer_.setInterval(version_report_period);
        if (interfaces_.header_mapping_) {
            state_.set_header_mapping(*interfaces_.header_mapping_);
        }
        state_.set_prefix_match(interfaces_.prefix_match_);
        state_.set_max_refusal_proof_age(settings_.refusal_proof_age_);
        state_.quotas().set_max_proof_age(settings_.proof_period_ * 3 / 2);
        state_.set_caller_limits({&resources_.account(), resources_.limits().caller_connections_,
                                  settings_.body_timeout_});
        if (settings_.prefers_own_zone_) {
            state_.set_preferred_zone(settings_.availability_zone_);
        }
        state_.set_crash_report_hook([this](auto record) { post_crash(std::move(record)); });
        state_.set_leave_hook([this](const auto& service, const auto& target, auto start_number) {
            post_leave(service, target, start_number);
        });
        state_.set_run_record_hooks({[this](auto operation, auto reply) {
                                         post_reservation(std::move(operation), std::move(reply));
                                     },
                                     [this](auto operation) {
                                         post_end(std::move(operation));
                                     }});
    }

    auto start() -> result<void>
    {
        for (unsigned index = 0; index < settings_.workers_; ++index) {
            auto worker = node_worker::start(state_, secrets_.key_,
                                             {*settings_.listen_callers_, settings_.listen_peers_});
            if (!worker) {
                return tl::unexpected(worker.error());
            }
            workers_.push_back(std::move(*worker));
        }
        if (auto listening = admin_.listen(settings_.listen_admin_); !listening) {
            return listening;
        }
        if (auto serving = start_external_interface(); !serving) {
            return serving;
        }
        lease_timer_.start(lease_check_period);
        link_.start();
        return {};
    }

    /** Applies new upstreams; the current connection stays. */
    void reload(const daemon_settings& settings) { link_.set_upstreams(settings.upstreams_); }

    void shut_down(const std::function<void()>& done) { shutdown_.start(done); }

  private:
    auto make_shutdown_hooks() -> node_shutdown_hooks
    {
        return {[this] { stop_serving(); }, [this] { return cut_calls(); },
                [this] { return state_.calls_in_flight() != 0; },
                [this] {
                    return run_client_.unacknowledged_reports() != 0;
                }};
    }

    void stop_serving()
    {
        const bool had_notice = settings_.leave_notice_.count() > 0;
        state_.begin_shutdown();
        for (const auto& [name, state] : local_target_states_) {
            state.admission_->set_draining(true);
        }
        propagate_changes(registry_.drain_all());
        for (const auto& worker : workers_) {
            worker->begin_shutdown(had_notice ? shutdown_grace_after_notice
                                              : default_shutdown_grace);
        }
    }

    auto cut_calls() -> std::size_t
    {
        std::size_t calls = 0;
        for (const auto& worker : workers_) {
            calls += worker->cut_calls();
        }
        return calls;
    }

    [[nodiscard]] auto is_ready() -> bool
    {
        return link_.logic().enforced() && !shutdown_.has_started();
    }

    auto start_external_interface() -> result<void>
    {
        if (!interfaces_.serve_node_) {
            return {};
        }
        auto serving = interfaces_.serve_node_(
            {[this] { return is_ready(); },
             [this](const target_announcement& announcement) { return announce(announcement); },
             [this](const std::string& target) { withdraw_target(target); },
             resources_.guards_of_interface()});
        if (!serving) {
            return tl::unexpected(serving.error());
        }
        external_interface_ = std::move(*serving);
        return {};
    }

    auto announce(const target_announcement& announcement) -> result<void>
    {
        if (state_.is_shutting_down()) {
            return failure(error_kind::unavailable, "this node is shutting down");
        }
        const auto is_named = [this](const std::string& service) {
            const auto& enforced = link_.logic().enforced();
            return enforced && enforced->names_service(service);
        };
        if (registry_.displaces_named_target(announcement, is_named)) {
            return failure(error_kind::invalid_input,
                           "the table does not name the service, and the address is that of a "
                           "target whose service it names");
        }
        const auto now = monotonic_now();
        if (const auto refusal = registry_.refusal_of(announcement, now);
            refusal != announcement_refusal::none) {
            log_ignored(announcement, refusal);
        }
        if (registry_.announce(announcement, now)) {
            log_event(log_level::info, "target_announced",
                      {{"service", announcement.service_},
                       {"target", announcement.target_},
                       {"draining", announcement.draining_}});
            const auto known = directory_.records();
            auto changed = registry_.learn_leaving(known);
            const auto own = registry_.records();
            changed.insert(changed.end(), own.begin(), own.end());
            publish_local_targets();
            propagate_changes(changed);
            disown(known);
        }
        return {};
    }

    void log_ignored(const target_announcement& announcement, announcement_refusal reason)
    {
        metrics_
            .count("sycamorewinch_ignored_announcements_total",
                   "Announcements of targets that were ignored, by reason.",
                   {{"reason", name_of(reason)}})
            .add();
        log_event(log_level::info, "announcement_ignored",
                  {{"service", announcement.service_},
                   {"target", announcement.target_},
                   {"started", announcement.started_},
                   {"sequence", announcement.sequence_},
                   {"reason", name_of(reason)}});
    }

    void disown(const std::vector<target_record>& received)
    {
        const auto gone = registry_.disown(received);
        for (const auto& record : gone) {
            log_event(log_level::info, "target_disowned",
                      {{"service", record.service_}, {"target", record.target_}});
        }
        if (!gone.empty()) {
            propagate_changes(gone);
        }
    }

    /** Returns whether the node has run for two target heartbeats. By then every target that kept
     * running across a restart of the node has announced itself. */
    [[nodiscard]] auto has_announcement_period_elapsed() const -> bool
    {
        return monotonic_now() - started_at_ >= settings_.target_heartbeat_ * 2;
    }

    void withdraw_target(const std::string& target)
    {
        const auto changed = registry_.withdraw(target, directory_.records(), monotonic_now());
        std::uint64_t left_start = 0;
        for (const auto& record : changed) {
            left_start = std::max(left_start, record.left_start_);
        }
        log_event(log_level::info, "target_left",
                  {{"target", target},
                   {"changed_records", changed.size()},
                   {"left_start", left_start},
                   {"connected", link_.is_connected()}});
        if (!changed.empty()) {
            publish_local_targets();
            propagate_changes(changed);
        }
    }

    auto handle_announcement(const QHttpServerRequest& request) -> QHttpServerResponse
    {
        const auto announcement = read_json(request).and_then(read_announcement);
        if (!announcement) {
            return error_response(announcement.error());
        }
        if (const auto announced = announce(*announcement); !announced) {
            return error_response(announced.error());
        }
        const auto lease = static_cast<qint64>(announcement->lease_.count());
        return json_response({{"lease_ms", lease}});
    }

    // Called on worker threads; continues on the main thread.
    void post_crash(crash_record record)
    {
        QMetaObject::invokeMethod(
            &lease_timer_,
            [this, record = std::move(record)] {
                if (!crashes_.merge(record, monotonic_now())) {
                    return;
                }
                log_event(
                    log_level::warning,
                    record.event_ == crash_event::crashed ? "request_broke_target"
                                                          : "request_cleared",
                    {{"fingerprint", to_hex(record.fingerprint_)}, {"target", record.target_}});
                state_.publish_crashes(crashes_.view());
                link_.logic().report_crashes({record});
                link_.process_output();
            },
            Qt::QueuedConnection);
    }

    // Called on worker threads; continues on the main thread.
    void post_leave(const std::string& service, const std::string& target,
                    std::uint32_t start_number)
    {
        QMetaObject::invokeMethod(
            &lease_timer_,
            [this, service, target, start_number] {
                const auto& state = local_target_states_[{service, target}];
                if (!state.admission_ || state.admission_->start_number() != start_number) {
                    return; // the target has restarted meanwhile
                }
                if (const auto changed = registry_.mark_leaving(service, target);
                    !changed.empty()) {
                    publish_local_targets();
                    propagate_changes(changed);
                }
            },
            Qt::QueuedConnection);
    }

    void merge_crashes(const std::vector<crash_record>& records)
    {
        bool changed = false;
        for (const auto& record : records) {
            changed = crashes_.merge(record, monotonic_now()) || changed;
        }
        if (changed) {
            state_.publish_crashes(crashes_.view());
        }
    }

    void check_leases()
    {
        if (crashes_.expire(monotonic_now())) {
            state_.publish_crashes(crashes_.view());
        }
        const auto changed = registry_.expire(monotonic_now());
        if (!changed.empty()) {
            publish_local_targets();
            propagate_changes(changed);
        }
    }

    void propagate_changes(const std::vector<target_record>& changed)
    {
        for (const auto& record : changed) {
            directory_.merge(record);
        }
        route_publication_.run_now();
        link_.logic().report_targets({changed, true});
        link_.process_output();
    }

    void publish_local_targets()
    {
        auto local = std::make_shared<local_targets>();
        for (const auto& target : registry_.targets()) {
            const auto& record = target.record_;
            auto& [target_admission, meter, starts, cold_start_end] =
                local_target_states_[{record.service_, record.target_}];
            const auto slots = record.slots_ + settings_.requests_ahead_;
            if (!target_admission) {
                target_admission = std::make_shared<admission_controller>(slots);
                meter = std::make_shared<target_meter>();
            }
            if (std::exchange(starts, target.starts_) != target.starts_) {
                target_admission->begin_start();
                cold_start_end = monotonic_now() + record.cold_start_;
            }
            target_admission->set_slots(slots);
            target_admission->set_draining(record.state_ != target_state::up);
            local->push_back({record.service_, record.target_, target.announcement_.address_,
                              target_admission, meter, measurement_.meter_of(record),
                              cold_start_end});
        }
        state_.publish_targets(std::move(local));
        if (measurement_.is_active() != version_timer_.isActive()) {
            measurement_.is_active() ? version_timer_.start() : version_timer_.stop();
        }
    }

    /** Reports what was measured of running roll-outs. While disconnected, counts accumulate. */
    void report_versions()
    {
        if (!link_.is_connected()) {
            return;
        }
        std::vector<local_target_load> loads;
        for (auto& record : registry_.records()) {
            const auto& state = local_target_states_[{record.service_, record.target_}];
            if (state.admission_) {
                const auto in_flight = state.admission_->in_flight() + state.meter_->waiting();
                loads.push_back({std::move(record), in_flight});
            }
        }
        link_.logic().report_versions(measurement_.make_report(loads));
        link_.process_output();
    }

    void apply_rollouts(const subscriber_output& output)
    {
        if (const auto& proved_at = link_.logic().proved_current_at()) {
            state_.set_rollouts_proved_at(*proved_at);
        }
        if (!output.enforce_rollouts_) {
            return;
        }
        for (const auto& rollout : measurement_.changed_rollouts(*output.enforce_rollouts_)) {
            log_event(log_level::info, "rollout_in_force",
                      {{"service", rollout.service_},
                       {"version", rollout.new_version_},
                       {"state", name_of(rollout.state_)},
                       {"share", rollout.share_}});
        }
        if (measurement_.set_rollouts(output.enforce_rollouts_)) {
            publish_local_targets();
        }
    }

    void refresh_limit_gauges()
    {
        constexpr double thousandths = 1'000;
        for (const auto& [name, state] : local_target_states_) {
            const std::vector<metric_label> labels{{"service", name.first},
                                                   {"target", name.second}};
            const auto limit = state.admission_->stated_limit().per_second();
            metrics_
                .gauge("sycamorewinch_target_is_rate_limited",
                       "1 while the target beside this node states a limit of its request rate.",
                       labels)
                .set(limit ? 1 : 0);
            metrics_
                .gauge("sycamorewinch_target_rate_limit_thousandths",
                       "The request rate that the target states, in thousandths of a request per "
                       "second; 0 without a limit.",
                       labels)
                .set(static_cast<std::uint64_t>(limit.value_or(0) * thousandths));
        }
    }

    void publish_routes()
    {
        state_.publish_routes(link_.logic().enforced(), directory_.records(),
                              link_.logic().enforced_rollouts());
    }

    // Called on worker threads; continues on the main thread.
    void post_reservation(run_operation operation, reservation_callback reply)
    {
        QMetaObject::invokeMethod(
            &run_timer_,
            [this, operation = std::move(operation), reply = std::move(reply)] {
                run_client_.reserve(operation, reply, monotonic_now());
                send_runs();
            },
            Qt::QueuedConnection);
    }

    // Called on worker threads; continues on the main thread.
    void post_end(run_operation operation)
    {
        QMetaObject::invokeMethod(
            &run_timer_,
            [this, operation = std::move(operation)] {
                run_client_.end(operation, monotonic_now());
                send_runs();
            },
            Qt::QueuedConnection);
    }

    /** Runs the timer only while operations are pending, since most nodes rarely serve requests
     * with an idempotency key. */
    void send_runs()
    {
        run_uplink_.send(run_client_.take_output());
        if (run_client_.has_pending() != run_timer_.isActive()) {
            run_client_.has_pending() ? run_timer_.start() : run_timer_.stop();
        }
    }

    void on_connected(bool has_changed_upstream)
    {
        run_uplink_.open(link_.connection());
        if (has_changed_upstream) {
            registry_.renew();
            for (const auto& record : registry_.records()) {
                directory_.merge(record);
            }
        }
        link_.logic().report_targets({registry_.records(), true});
        link_.logic().report_summary(directory_.digests());
        link_.logic().report_progress(own_progress());
    }

    void on_output(const subscriber_output& output)
    {
        if (output.proof_) {
            state_.quotas().on_proof(monotonic_now());
            last_proof_.set(static_cast<std::uint64_t>(QDateTime::currentSecsSinceEpoch()));
        }
        if (const auto& proved_at = link_.logic().proved_current_at()) {
            state_.set_proved_current_at(*proved_at);
        }
        merge_crashes(output.crashes_);
        auto updates = output.targets_;
        for (const auto& record : output.targets_) {
            directory_.merge(record);
        }
        if (output.sync_) {
            const auto synced = on_sync(*output.sync_, output.sync_replaces_);
            updates.insert(updates.end(), synced.begin(), synced.end());
        }
        apply_rollouts(output);
        if (output.enforce_ || output.enforce_rollouts_) {
            route_publication_.run_now();
        }
        else if (!updates.empty()) {
            route_publication_.request();
        }
        if (has_announcement_period_elapsed()) {
            disown(updates);
        }
        auto changed = registry_.learn_leaving(updates);
        const auto refuted = registry_.refute(updates);
        changed.insert(changed.end(), refuted.begin(), refuted.end());
        if (!changed.empty()) {
            publish_local_targets();
            propagate_changes(changed);
        }
        if (output.enforce_) {
            version_.set(output.enforce_->version_.number_);
            log_event(log_level::info, "table_in_force",
                      {{"version", output.enforce_->version_.number_},
                       {"digest", to_hex(output.enforce_->version_.digest_)}});
        }
        if (output.held_ || output.enforce_) {
            link_.logic().report_progress(own_progress());
            link_.process_output();
        }
    }

    // Merges the upstream's buckets into the directory and reports records that are newer here;
    // returns the records that changed.
    auto on_sync(const bucket_contents& contents, bool replaces) -> std::vector<target_record>
    {
        if (replaces) {
            directory_.retain_only(registry_.records());
        }
        auto outcome = directory_.merge_buckets(contents);
        if (!outcome.newer_local_.empty()) {
            link_.logic().report_targets({std::move(outcome.newer_local_), false});
        }
        return std::move(outcome.target_updates_);
    }

    auto own_progress() -> std::vector<zone_progress>
    {
        const auto& enforced = link_.logic().enforced();
        const auto number = enforced ? enforced->version_.number_ : 0;
        return {{settings_.availability_zone_, 1, number, 1, {settings_.name_}}};
    }

    daemon_settings settings_;
    daemon_secrets secrets_;
    external_interfaces interfaces_;
    metrics_registry metrics_;
    client_resources resources_;
    node_state state_;
    target_registry registry_;
    target_directory directory_;
    crash_tracker crashes_;
    /** By service and target. */
    std::map<std::pair<std::string, std::string>, local_target_state> local_target_states_;
    admin_server admin_;
    upstream_link link_;
    run_client run_client_;
    run_uplink run_uplink_;
    counter& version_;
    counter& last_proof_;
    coalesced_call route_publication_{target_change_delay, [this] {
                                          publish_routes();
                                      }};
    QTimer lease_timer_;
    QTimer run_timer_;
    rollout_measurement measurement_;
    QTimer version_timer_;
    std::vector<std::unique_ptr<node_worker>> workers_;
    node_shutdown shutdown_{{settings_.leave_notice_, settings_.shutdown_grace_},
                            make_shutdown_hooks()};
    instant started_at_ = monotonic_now();
    std::shared_ptr<void> external_interface_; ///< Empty without an external interface.
};

} // namespace

auto start_node_role(const daemon_settings& settings, const daemon_secrets& secrets,
                     const external_interfaces& interfaces) -> result<running_role>
{
    const auto role = std::make_shared<node_role>(settings, secrets, interfaces);
    if (auto started = role->start(); !started) {
        return tl::unexpected(started.error());
    }
    return running_role{[role = std::weak_ptr(role)](const daemon_settings& next) {
                            if (const auto alive = role.lock()) {
                                alive->reload(next);
                            }
                        },
                        [role = std::weak_ptr(role)](const std::function<void()>& done) {
                            if (const auto alive = role.lock()) {
                                alive->shut_down(done);
                            }
                        },
                        role};
}

} // namespace sycamorewinch
