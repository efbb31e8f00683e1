#include "daemon/daemon_role.h"

#include <QDateTime>
#include <QTimer>

#include "daemon/admin_server.h"
#include "daemon/drain_api.h"
#include "daemon/run_channels.h"
#include "daemon/target_registry.h"
#include "daemon/upstream_link.h"
#include "membership/target_directory.h"
#include "observability/log.h"
#include "request_path/node_worker.h"

namespace sycamorewinch {

namespace {

constexpr auto lease_check_period = std::chrono::milliseconds(500);
constexpr auto shutdown_check_period = std::chrono::milliseconds(20);
constexpr auto run_check_period = std::chrono::milliseconds(50);
/** For requests that callers sent before they saw that the node is leaving. */
constexpr auto usual_grace = std::chrono::milliseconds(1'000);
/** The same when callers had time to see it: for what is on the network. */
constexpr auto grace_after_notice = std::chrono::milliseconds(200);
constexpr duration longest_record_wait = std::chrono::seconds(5);
constexpr int default_lease_ms = 5'000;
constexpr int max_lease_ms = 600'000;
constexpr int max_slots = 100'000;

auto text_of(const QJsonObject& object, const char* name) -> std::string
{
    return object.value(QLatin1String(name)).toString().toStdString();
}

/** Reads `{"service":..,"target":..,"address":"IP:PORT","slots":..}` and the optional fields. */
auto read_announcement(const QJsonObject& object) -> result<target_announcement>
{
    target_announcement announcement;
    announcement.service_ = text_of(object, "service");
    announcement.target_ = text_of(object, "target");
    if (announcement.service_.empty() || announcement.target_.empty()) {
        return failure(error_kind::invalid_input, "an announcement needs 'service' and 'target'");
    }
    const auto address = parse_peer_address(text_of(object, "address"));
    if (!address) {
        return tl::unexpected(address.error());
    }
    announcement.address_ = *address;
    const auto slots = object.value(QLatin1String("slots")).toInt();
    const auto lease = object.value(QLatin1String("lease_ms")).toInt(default_lease_ms);
    if (slots < 1 || slots > max_slots || lease < 1 || lease > max_lease_ms) {
        return failure(error_kind::invalid_input,
                       "'slots' is from 1 to 100000 and 'lease_ms' from 1 to 600000");
    }
    announcement.slots_ = static_cast<std::uint32_t>(slots);
    announcement.lease_ = std::chrono::milliseconds(lease);
    announcement.cold_start_ =
        std::chrono::milliseconds(object.value(QLatin1String("cold_start_ms")).toInt(0));
    announcement.draining_ = object.value(QLatin1String("draining")).toBool(false);
    return announcement;
}

/** What is kept of a target beside this node from one announcement to the next. */
struct target_gate {
    std::shared_ptr<admission_controller> admission_;
    std::shared_ptr<target_meter> meter_;
};

/** A node: subscribes upwards, registers targets, and carries calls on its workers. */
class node_role {
  public:
    node_role(const daemon_settings& settings, const daemon_secrets& secrets,
              external_interfaces interfaces)
        : settings_(settings), secrets_(secrets), interfaces_(std::move(interfaces)),
          state_(to_text(settings.listen_peers_), metrics_),
          registry_(settings.availability_zone_, to_text(settings.listen_peers_),
                    static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch()),
                    to_text(settings.listen_admin_)),
          admin_(metrics_, secrets.operator_token_, [this] { return is_ready(); }),
          link_(settings.upstreams_, secrets.key_,
                {settings.name_, settings.availability_zone_, false, system_random(),
                 settings.proof_period_, settings.proof_timeout_},
                metrics_,
                {[this](const auto& output) { on_output(output); },
                 [this](bool is_moved) {
                     on_connected(is_moved);
                 }}),
          runs_({to_text(settings.listen_peers_),
                 static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch())}),
          runs_up_({[this] {
                        runs_.on_connected(monotonic_now());
                        send_runs();
                    },
                    [this] { runs_.on_disconnected(monotonic_now()); },
                    [this](const auto& results) {
                        runs_.on_results(results, monotonic_now());
                        send_runs();
                    }}),
          version_(metrics_.gauge("sycamorewinch_table_version",
                                  "Number of the table version in force.")),
          last_proof_(metrics_.gauge("sycamorewinch_last_proof_timestamp_seconds",
                                     "Unix time of the last proof of the current version; 0 before "
                                     "the first."))
    {
        admin_.handle(QHttpServerRequest::Method::Post, "/v1/targets", admin_access::anybody,
                      [this](const auto& request) { return on_announce(request); });
        add_drain_api(admin_, registry_, [this](const auto& changed) {
            publish_local_targets();
            tell(changed);
        });
        auto& in_flight = metrics_.gauge("sycamorewinch_calls_in_flight",
                                         "Calls of callers and of other nodes being carried.");
        admin_.refresh_metrics_by([this, &in_flight] {
            in_flight.set(static_cast<std::uint64_t>(state_.calls_in_flight().load()));
        });
        QObject::connect(&lease_timer_, &QTimer::timeout, &lease_timer_,
                         [this] { check_leases(); });
        QObject::connect(&run_timer_, &QTimer::timeout, &run_timer_, [this] {
            runs_.tick(monotonic_now());
            send_runs();
        });
        run_timer_.setInterval(run_check_period);
        if (interfaces_.header_mapping_) {
            state_.set_header_mapping(*interfaces_.header_mapping_);
        }
        if (settings_.prefers_own_zone_) {
            state_.set_preferred_zone(settings_.availability_zone_);
        }
        state_.set_crash_report_hook([this](auto record) { post_crash(std::move(record)); });
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
        if (auto serving = serve_interface(); !serving) {
            return serving;
        }
        lease_timer_.start(lease_check_period);
        link_.start();
        return {};
    }

    /** Takes new upstreams; the connection in use stays. */
    void reload(const daemon_settings& settings) { link_.set_upstreams(settings.upstreams_); }

    /** Callers are sent elsewhere once they have seen that the node is not ready; until then it
     * serves them. */
    void shut_down(const std::function<void()>& done)
    {
        is_leaving_ = true;
        QTimer::singleShot(settings_.leave_notice_, &shutdown_timer_, [this, done] { end(done); });
    }

  private:
    void end(const std::function<void()>& done)
    {
        const bool was_announced = settings_.leave_notice_.count() > 0;
        state_.begin_shutdown();
        for (const auto& [name, gate] : gates_) {
            gate.admission_->set_draining(true);
        }
        tell(registry_.drain_all());
        for (const auto& worker : workers_) {
            worker->begin_shutdown(was_announced ? grace_after_notice : usual_grace);
        }
        const auto record_deadline = monotonic_now() + longest_record_wait;
        QObject::connect(&shutdown_timer_, &QTimer::timeout, &shutdown_timer_,
                         [this, done, record_deadline] {
                             const bool is_recorded =
                                 runs_.unacknowledged() == 0 || monotonic_now() > record_deadline;
                             if (state_.calls_in_flight() == 0 && is_recorded) {
                                 shutdown_timer_.stop();
                                 done();
                             }
                         });
        shutdown_timer_.start(shutdown_check_period);
    }

    [[nodiscard]] auto is_ready() -> bool { return link_.logic().enforced() && !is_leaving_; }

    auto serve_interface() -> result<void>
    {
        if (!interfaces_.serve_node_) {
            return {};
        }
        auto serving = interfaces_.serve_node_(
            {[this] { return is_ready(); },
             [this](const target_announcement& announcement) { return announce(announcement); },
             [this](const std::string& target) {
                 leave(target);
             }});
        if (!serving) {
            return tl::unexpected(serving.error());
        }
        serving_ = std::move(*serving);
        return {};
    }

    auto announce(const target_announcement& announcement) -> result<void>
    {
        if (state_.is_shutting_down()) {
            return failure(error_kind::unavailable, "this node is shutting down");
        }
        if (registry_.announce(announcement, monotonic_now())) {
            log_event(log_level::info, "target_announced",
                      {{"service", announcement.service_},
                       {"target", announcement.target_},
                       {"draining", announcement.draining_}});
            publish_local_targets();
            tell(registry_.records());
            disown(directory_.records());
        }
        return {};
    }

    void disown(const std::vector<target_record>& heard)
    {
        const auto gone = registry_.disown(heard);
        for (const auto& record : gone) {
            log_event(log_level::info, "target_disowned",
                      {{"service", record.service_}, {"target", record.target_}});
        }
        if (!gone.empty()) {
            tell(gone);
        }
    }

    /** A target that runs on while its node is started again announces itself within a while. */
    [[nodiscard]] auto has_heard_own_targets() const -> bool
    {
        return monotonic_now() - started_ >= settings_.target_heartbeat_ * 2;
    }

    void leave(const std::string& target)
    {
        if (const auto changed = registry_.leave(target); !changed.empty()) {
            log_event(log_level::info, "target_left", {{"target", target}});
            publish_local_targets();
            tell(changed);
        }
    }

    auto on_announce(const QHttpServerRequest& request) -> QHttpServerResponse
    {
        const auto announcement = read_json(request).and_then(read_announcement);
        if (!announcement) {
            return error_answer(announcement.error());
        }
        if (const auto taken = announce(*announcement); !taken) {
            return error_answer(taken.error());
        }
        const auto lease = static_cast<qint64>(announcement->lease_.count());
        return json_answer({{"lease_ms", lease}});
    }

    // Called on worker threads.
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
                link_.run();
            },
            Qt::QueuedConnection);
    }

    void take_crashes(const std::vector<crash_record>& news)
    {
        bool changed = false;
        for (const auto& record : news) {
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
            tell(changed);
        }
    }

    void tell(const std::vector<target_record>& changed)
    {
        for (const auto& record : changed) {
            directory_.merge(record);
        }
        publish_routes();
        link_.logic().report_targets({changed, true});
        link_.run();
    }

    void publish_local_targets()
    {
        auto local = std::make_shared<local_targets>();
        for (const auto& target : registry_.targets()) {
            const auto& record = target.record_;
            auto& [gate, meter] = gates_[{record.service_, record.target_}];
            const auto slots = record.slots_ + settings_.requests_ahead_;
            if (!gate) {
                gate = std::make_shared<admission_controller>(slots);
                meter = std::make_shared<target_meter>();
            }
            gate->set_slots(slots);
            gate->set_draining(record.state_ != target_state::up);
            local->push_back(
                {record.service_, record.target_, target.announcement_.address_, gate, meter});
        }
        state_.publish_targets(std::move(local));
    }

    void publish_routes() { state_.publish_routes(link_.logic().enforced(), directory_.records()); }

    // Called on worker threads.
    void post_reservation(run_operation operation, run_callback reply)
    {
        QMetaObject::invokeMethod(
            &run_timer_,
            [this, operation = std::move(operation), reply = std::move(reply)] {
                runs_.reserve(operation, reply, monotonic_now());
                send_runs();
            },
            Qt::QueuedConnection);
    }

    // Called on worker threads.
    void post_end(run_operation operation)
    {
        QMetaObject::invokeMethod(
            &run_timer_,
            [this, operation = std::move(operation)] {
                runs_.end(operation, monotonic_now());
                send_runs();
            },
            Qt::QueuedConnection);
    }

    /** Most nodes carry no requests with a key most of the time: the timer runs only for those. */
    void send_runs()
    {
        runs_up_.send(runs_.take_output());
        if (runs_.is_waiting() != run_timer_.isActive()) {
            runs_.is_waiting() ? run_timer_.start() : run_timer_.stop();
        }
    }

    void on_connected(bool is_moved)
    {
        runs_up_.open(link_.connection());
        if (is_moved) {
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
            last_proof_.set(static_cast<std::uint64_t>(QDateTime::currentSecsSinceEpoch()));
        }
        take_crashes(output.crashes_);
        auto news = output.targets_;
        for (const auto& record : output.targets_) {
            directory_.merge(record);
        }
        if (output.sync_) {
            const auto more = on_sync(*output.sync_, output.sync_replaces_);
            news.insert(news.end(), more.begin(), more.end());
        }
        if (output.enforce_ || !news.empty()) {
            publish_routes();
        }
        if (has_heard_own_targets()) {
            disown(news);
        }
        if (const auto refuted = registry_.refute(news); !refuted.empty()) {
            publish_local_targets();
            tell(refuted);
        }
        if (output.enforce_) {
            version_.set(output.enforce_->version_.number_);
            log_event(log_level::info, "table_in_force",
                      {{"version", output.enforce_->version_.number_},
                       {"digest", to_hex(output.enforce_->version_.digest_)}});
        }
        if (output.held_ || output.enforce_) {
            link_.logic().report_progress(own_progress());
            link_.run();
        }
    }

    // Takes the upstream's buckets and tells it what is later here; returns the news.
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
    node_state state_;
    target_registry registry_;
    target_directory directory_;
    crash_tracker crashes_;
    std::map<std::pair<std::string, std::string>, target_gate> gates_; ///< By service and target.
    admin_server admin_;
    upstream_link link_;
    run_client runs_;
    run_uplink runs_up_;
    counter& version_;
    counter& last_proof_;
    QTimer lease_timer_;
    QTimer run_timer_;
    QTimer shutdown_timer_;
    std::vector<std::unique_ptr<node_worker>> workers_;
    instant started_ = monotonic_now();
    bool is_leaving_ = false;
    std::shared_ptr<void> serving_; ///< The interface for the world outside, if there is another.
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
