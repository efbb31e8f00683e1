#include "daemon/daemon_role.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <QTimer>

#include "control/control_replica.h"
#include "daemon/client_limits.h"
#include "daemon/control_group.h"
#include "daemon/operator_api.h"
#include "daemon/peer_listener.h"
#include "daemon/progress_tracker.h"
#include "daemon/publisher_server.h"
#include "daemon/replica_diagnostics.h"
#include "daemon/replica_links.h"
#include "daemon/replica_name.h"
#include "daemon/rollout_api.h"
#include "daemon/rollout_service.h"
#include "daemon/run_record_service.h"
#include "event_loop/background_worker.h"
#include "event_loop/call_after.h"
#include "event_loop/deadline_timer.h"
#include "observability/log.h"
#include "storage/replica_store.h"

namespace sycamorewinch {

namespace {

/** With less free disk space than this, the log accepts no more entries. */
constexpr std::uint64_t disk_reserve_bytes = 64U * 1024 * 1024;
constexpr auto tick_period = std::chrono::milliseconds(10);
constexpr int ticks_per_heartbeat = 5;
/** A leader's lease outlasts a few late or lost heartbeats. */
constexpr int heartbeats_per_lease = 5;
/** How often the members of a group with dynamic membership check whether it should change. */
constexpr auto group_maintenance_period = std::chrono::milliseconds(200);
/** Progress reports within one replica_report_timeout; one in three may be lost. */
constexpr int reports_per_timeout = 3;
/** From the end of a process's part in the group to its own: its last messages are sent, and the
 * accepted edits that it still acknowledges. */
constexpr auto last_messages_time = std::chrono::milliseconds(100);
constexpr auto lease_check_period = std::chrono::milliseconds(500);
/** Large, since operators upload whole tables. */
constexpr qint64 max_operator_request_bytes = 8 * 1024 * 1024;
constexpr auto proof_timeout = std::chrono::milliseconds(500);
constexpr auto proof_retry_after = std::chrono::milliseconds(100);

/** A control process: a Raft replica that stores the table and publishes it to relays and nodes. */
class control_role {
  public:
    control_role(const daemon_settings& settings, const daemon_secrets& secrets,
                 external_interfaces interfaces)
        : settings_(settings), interfaces_(std::move(interfaces)), random_(system_random()),
          resources_(settings, metrics_),
          admin_(
              metrics_, secrets.operator_token_,
              [this] { return !replica_->raft_state().leader().empty(); },
              resources_.limits_of_admin(max_operator_request_bytes)),
          listener_(secrets.key_, metrics_),
          publisher_(metrics_,
                     {[this] { start_proof(); }, [this](const auto& report) { broadcast(report); },
                      [this] { has_unreported_progress_ = true; },
                      [this](const auto& crashes) { broadcast(crash_report{crashes}); },
                      [this] { return replica_->raft_state().has_quorum_contact(monotonic_now()); },
                      [this] { return replica_->currency_age(monotonic_now()); },
                      [this](const auto& report) {
                          rollouts_.on_own_report(report);
                      }}),
          links_(settings.control_peers_, secrets.key_,
                 {[this](const auto& message) { replica_->receive(message, monotonic_now()); },
                  [this](const auto& from, const auto& message) { on_peer_message(from, message); },
                  [this](const auto& to) { on_peer_connected(to); },
                  [this](const auto& to) { on_peer_disconnected(to); },
                  [this](const auto& candidate) { group_.on_join(candidate, monotonic_now()); },
                  [this](const auto& member) { group_.on_leave(member, monotonic_now()); },
                  [this] { group_.on_leave_granted(); },
                  [this](const auto& from, auto bytes) {
                      run_records_.receive(from, bytes);
                  }}),
          group_(
              settings,
              {[this]() -> control_replica& { return *replica_; },
               [this](const auto& members) { links_.connect_to(members); },
               [this](const auto& to, const auto& candidate) { links_.send_join(to, candidate); },
               [this](const auto& to, const auto& member) { links_.send_leave(to, member); },
               [this](const auto& to) {
                   links_.send_leave_granted(to);
               }},
              monotonic_now()),
          run_records_(metrics_, {[this]() -> control_replica& { return *replica_; },
                                  [this](const auto& to, auto bytes) {
                                      links_.send_run_message(to, bytes);
                                  }}),
          rollouts_(metrics_, {[this]() -> control_replica& { return *replica_; },
                               [this](auto rollouts) {
                                   publisher_.logic().set_rollouts(std::move(rollouts));
                                   publisher_.process_output();
                               },
                               [this](const auto& report) { broadcast(report); },
                               [this] {
                                   return not_ready_reason();
                               }})
    {
        listener_.handle(distribution_path, [this](const auto& connection, auto stream) {
            return publisher_.accept(connection, stream);
        });
        listener_.handle(runs_path, [this](const auto& connection, auto stream) {
            return run_records_.accept(connection, stream);
        });
        listener_.handle(replica_path, [this](const auto& connection, auto stream) {
            return links_.accept(connection, stream);
        });
        add_operator_api(admin_,
                         {[this]() -> control_replica& { return *replica_; },
                          [this] { return merged_progress(); },
                          [this] { return peer_progress_.silent_replicas(monotonic_now()); },
                          [this] {
                              return publisher_.logic().targets().records();
                          }});
        add_rollout_api(admin_, rollouts_, [this]() -> control_replica& { return *replica_; });
        QObject::connect(&progress_timer_, &QTimer::timeout, &progress_timer_,
                         [this] { report_progress(); });
        QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_, [this] { tick(); });
        QObject::connect(&group_timer_, &QTimer::timeout, &group_timer_,
                         [this] { group_.maintain(monotonic_now()); });
        QObject::connect(&lease_timer_, &QTimer::timeout, &lease_timer_, [this] {
            publisher_.logic().tick(monotonic_now(), !replica_->raft_state().leader().empty());
            publisher_.process_output();
        });
    }

    auto start() -> result<void>
    {
        auto files = open_file_system(settings_.data_dir_);
        if (!files) {
            return tl::unexpected(files.error());
        }
        files_ = std::move(*files);
        auto store = replica_store::open(files_);
        if (!store) {
            return tl::unexpected(store.error());
        }
        store_.emplace(std::move(*store));
        auto options = make_options();
        if (!options) {
            return tl::unexpected(options.error());
        }
        auto replica = control_replica::create(std::move(*options), store_->take_recovered(),
                                               make_hooks(), monotonic_now());
        if (!replica) {
            return tl::unexpected(replica.error());
        }
        replica_.emplace(std::move(*replica));
        if (auto listening = listener_.listen(settings_.listen_peers_); !listening) {
            return listening;
        }
        if (auto listening = admin_.listen(settings_.listen_admin_); !listening) {
            return listening;
        }
        if (auto serving = start_external_interface(); !serving) {
            return serving;
        }
        links_.start(replica_->raft_state().options().self_);
        if (has_dynamic_membership()) {
            group_.maintain(monotonic_now());
            group_timer_.start(group_maintenance_period);
        }
        tick_timer_.start(
            std::max(tick_period, settings_.control_heartbeat_ / ticks_per_heartbeat));
        progress_timer_.start(progress_report_period);
        lease_timer_.start(lease_check_period);
        return {};
    }

    /** Applies new seeds, which a replica that has lost contact with its group asks to join. */
    void reload(const daemon_settings& settings) { group_.set_seeds(settings.control_seeds_); }

    /** Leaves the group, if its membership is dynamic, and calls \p done in a later turn of the
     * event loop, in which the last messages have been sent. */
    void shut_down(const std::function<void()>& done)
    {
        const auto end = [this, done] {
            call_after(last_messages_time, shutdown_context_, done);
        };
        if (has_dynamic_membership()) {
            group_.leave(end, monotonic_now());
        }
        else {
            done();
        }
    }

  private:
    [[nodiscard]] auto has_dynamic_membership() const -> bool
    {
        return settings_.control_peers_.empty();
    }

    void tick()
    {
        const auto now = monotonic_now();
        replica_->tick(now);
        if (has_dynamic_membership()) {
            group_.tick(now);
        }
    }

    auto make_options() -> result<raft_options>
    {
        raft_options options{.self_ = settings_.name_};
        options.heartbeat_ = settings_.control_heartbeat_;
        options.lease_ = settings_.control_heartbeat_ * heartbeats_per_lease;
        options.random_ = random_;
        for (const auto& peer : settings_.control_peers_) {
            options.voters_.push_back(peer.name_);
        }
        if (has_dynamic_membership()) {
            auto name = establish_replica_name(settings_, files_, *store_, random_);
            if (!name) {
                return tl::unexpected(name.error());
            }
            options.self_ = std::move(*name);
        }
        return options;
    }

    auto start_external_interface() -> result<void>
    {
        if (!interfaces_.serve_control_) {
            return {};
        }
        control_api api;
        api.is_leader_ = [this] {
            return replica_->raft_state().role() == raft_role::leader;
        };
        api.leader_host_ = [this] {
            return leader_host();
        };
        api.state_ = [this]() -> const replicated_state& {
            return replica_->state();
        };
        api.not_ready_reason_ = [this] {
            return not_ready_reason();
        };
        api.accept_ = [this](const auto& command, auto callback) {
            replica_->accept(command, std::move(callback), monotonic_now());
        };
        api.prove_current_ = [this](auto callback) {
            replica_->prove_current(std::move(callback), monotonic_now());
        };
        api.order_rollout_ = [this](const auto& order, auto callback) {
            rollouts_.order(order, std::move(callback));
        };
        api.read_rollout_ = [this](const auto& service, auto callback) {
            rollouts_.read(service, std::move(callback));
        };
        api.count_rejected_config_ = [this](error_kind reason) {
            rejected_configs(reason).add();
        };
        for (const auto reason : {error_kind::invalid_input, error_kind::unsupported}) {
            rejected_configs(reason).add(0); // so that rate queries see the first increment
        }
        api.make_guard_ = resources_.guards_of_interface();
        auto serving = interfaces_.serve_control_(api);
        if (!serving) {
            return tl::unexpected(serving.error());
        }
        external_interface_ = std::move(*serving);
        return {};
    }

    auto rejected_configs(error_kind reason) -> counter&
    {
        return metrics_.count("sycamorewinch_rejected_configs_total",
                              "Configurations rejected by the external interface, by reason.",
                              {{"reason", name_of(reason)}});
    }

    [[nodiscard]] auto not_ready_reason() const -> std::optional<error>
    {
        return has_dynamic_membership() ? group_.not_ready_reason(monotonic_now()) : std::nullopt;
    }

    [[nodiscard]] auto leader_host() const -> std::string
    {
        const auto& leader = replica_->raft_state().leader();
        for (const auto& peer : settings_.control_peers_) {
            if (peer.name_ == leader) {
                return peer.address_.host_;
            }
        }
        const auto address = parse_peer_address(replica_address_of(leader));
        return address ? address->host_ : std::string();
    }

    auto make_hooks() -> control_hooks
    {
        control_hooks hooks;
        hooks.save_vote_ = [this](const vote_state& vote) {
            return store_->save_vote(vote);
        };
        hooks.truncate_after_ = [this](std::uint64_t index) {
            return store_->truncate_after(index);
        };
        hooks.append_ = [this](const std::vector<log_entry>& entries) {
            return store_->append(entries);
        };
        hooks.save_snapshot_ = [this](const log_snapshot& snapshot,
                                      const std::vector<log_entry>& entries) {
            log_event(log_level::info, "snapshot", {{"index", snapshot.index_}});
            return store_->save_snapshot(snapshot, entries);
        };
        hooks.run_in_background_ = [this](auto write, auto done) {
            write_in_background(std::move(write), std::move(done));
        };
        hooks.reload_ = [this]() -> result<durable_state> {
            auto store = replica_store::open(files_);
            if (!store) {
                return tl::unexpected(store.error());
            }
            store_.emplace(std::move(*store));
            log_event(log_level::info, "disk_read_again", {});
            return store_->take_recovered();
        };
        hooks.has_disk_space_ = [this] {
            return files_.free_bytes_() >= disk_reserve_bytes;
        };
        hooks.send_ = [this](const raft_message& message) {
            links_.send(message);
        };
        hooks.on_table_ = [this](const table_pointer& table) {
            log_event(log_level::info, "table_accepted", {{"version", table->version_.number_}});
            metrics_
                .gauge("sycamorewinch_table_version",
                       "Number of the latest accepted table version.")
                .set(table->version_.number_);
            publisher_.logic().set_table(table);
            publisher_.process_output();
        };
        hooks.on_rollouts_ = [this](const rollout_records& rollouts) {
            rollouts_.on_rollouts(rollouts);
        };
        hooks.on_election_ = [this](const election_event& event) {
            diagnostics_.on_election(event, replica_->raft_state());
        };
        hooks.on_disk_failure_ = [](const error& problem) {
            log_event(log_level::error, "disk_failure", {{"message", problem.message_}});
        };
        return hooks;
    }

    void write_in_background(std::function<result<void>()> write,
                             std::function<void(const result<void>& outcome, instant now)> done)
    {
        struct ended_write {
            result<void> outcome_;
            duration time_{};
        };
        const auto ended = std::make_shared<ended_write>();
        writer_.run(
            [write = std::move(write), ended] {
                const auto begun_at = monotonic_now();
                ended->outcome_ = write();
                ended->time_ = monotonic_now() - begun_at;
            },
            [this, done = std::move(done), ended] {
                diagnostics_.on_write(ended->time_);
                done(ended->outcome_, monotonic_now());
            });
    }

    // The leader has its quorum confirm that its version is current; a follower asks the leader.
    void start_proof()
    {
        const auto number = ++proof_number_;
        proof_timer_.start(proof_timeout);
        const auto& raft = replica_->raft_state();
        if (raft.role() == raft_role::leader) {
            replica_->prove_current(
                [this, number](const result<std::uint64_t>& version) {
                    finish_proof(number, version, publisher_.logic().rollouts().sequence_);
                },
                monotonic_now());
            return;
        }
        if (!raft.leader().empty()) {
            links_.send(raft.leader(), currency_request{number});
        }
    }

    void finish_proof(std::uint64_t number, const result<std::uint64_t>& version,
                      std::uint64_t rollout_sequence)
    {
        if (number != proof_number_) {
            return; // the answer to a request that has timed out
        }
        ++proof_number_;
        proof_timer_.stop();
        if (!version) {
            schedule_proof_failure();
            return;
        }
        publisher_.logic().on_proof(*version, rollout_sequence);
        publisher_.process_output();
    }

    void schedule_proof_failure()
    {
        call_after(proof_retry_after, proof_context_, [this] {
            publisher_.logic().on_proof_failed();
            publisher_.process_output();
        });
    }

    void on_peer_message(const std::string& from, const distribution_message& message)
    {
        if (const auto* request = std::get_if<currency_request>(&message)) {
            answer_currency_request(from, request->nonce_);
        }
        else if (const auto* proof = std::get_if<currency_proof>(&message)) {
            finish_proof(proof->nonce_, proof->version_, proof->rollout_sequence_);
        }
        else if (const auto* crashes = std::get_if<crash_report>(&message)) {
            publisher_.logic().merge_crashes(crashes->crashes_);
            publisher_.process_output();
        }
        else if (const auto* targets = std::get_if<target_report>(&message)) {
            publisher_.logic().merge_targets(*targets);
            publisher_.process_output();
        }
        else if (const auto* summary = std::get_if<target_summary>(&message)) {
            links_.send(from, target_sync{publisher_.logic().targets().differing_buckets(
                                  summary->digests_)});
        }
        else if (const auto* sync = std::get_if<target_sync>(&message)) {
            publisher_.logic().merge_sync(sync->contents_, false);
            publisher_.process_output();
        }
        else if (const auto* report = std::get_if<version_report>(&message)) {
            rollouts_.on_report(from, *report);
        }
        else if (const auto* progress = std::get_if<progress_report>(&message)) {
            peer_progress_.on_report(from, progress->zones_, monotonic_now());
        }
        else if (const auto* publishers = std::get_if<publisher_list>(&message);
                 publishers && !publishers->publishers_.empty()) {
            peer_publishers_[from] = publishers->publishers_.front();
            send_publisher_list();
        }
    }

    void answer_currency_request(const std::string& follower, std::uint64_t nonce)
    {
        replica_->prove_current(
            [this, follower, nonce](const result<std::uint64_t>& version) {
                if (version) {
                    links_.send(follower, currency_proof{nonce, *version, 0,
                                                         publisher_.logic().rollouts().sequence_});
                }
            },
            monotonic_now());
    }

    void on_peer_connected(const std::string& to)
    {
        links_.send(to, target_report{publisher_.logic().leased_targets(), true});
        links_.send(to, target_summary{publisher_.logic().targets().digests()});
        links_.send(to, publisher_list{{own_publisher()}});
    }

    void on_peer_disconnected(const std::string& to)
    {
        peer_progress_.on_disconnected(to, monotonic_now());
        if (peer_publishers_.erase(to) > 0) {
            send_publisher_list();
        }
    }

    [[nodiscard]] auto own_publisher() const -> publisher_address
    {
        return {settings_.availability_zone_, to_text(settings_.listen_peers_)};
    }

    /** Tells subscribers the addresses of this replica and of the replicas connected to it. */
    void send_publisher_list()
    {
        std::vector<publisher_address> publishers{own_publisher()};
        for (const auto& [name, publisher] : peer_publishers_) {
            publishers.push_back(publisher);
        }
        publisher_.logic().set_publishers(std::move(publishers));
        publisher_.process_output();
    }

    /** Reports progress to the leader, which alone answers queries for it. Sends a report in the
     * next period after a change and otherwise often enough that the previous one does not expire.
     */
    void report_progress()
    {
        const auto now = monotonic_now();
        const bool is_due = now - progress_sent_at_ >= replica_report_timeout / reports_per_timeout;
        const auto& leader = replica_->raft_state().leader();
        if ((has_unreported_progress_ || is_due) && !leader.empty()) {
            has_unreported_progress_ = false;
            progress_sent_at_ = now;
            links_.send(leader, progress_report{publisher_.logic().progress()});
        }
    }

    void broadcast(const distribution_message& message)
    {
        for (const auto& name : links_.other_replicas()) {
            links_.send(name, message);
        }
    }

    auto merged_progress() -> std::vector<zone_progress>
    {
        return peer_progress_.merge_with_reports(publisher_.logic().progress(), monotonic_now());
    }

    daemon_settings settings_;
    external_interfaces interfaces_;
    random_hook random_;
    metrics_registry metrics_;
    client_resources resources_;
    admin_server admin_;
    peer_listener listener_;
    publisher_server publisher_;
    replica_links links_;
    control_group group_;
    run_record_service run_records_;
    rollout_service rollouts_;
    file_system files_;
    std::optional<replica_store> store_;
    std::optional<control_replica> replica_;
    progress_tracker peer_progress_;
    /** The publishers of the replicas connected to this one. */
    std::map<std::string, publisher_address> peer_publishers_;
    bool has_unreported_progress_ = false;
    instant progress_sent_at_{};
    QTimer progress_timer_;
    QTimer tick_timer_;
    QTimer group_timer_;
    QTimer lease_timer_;
    deadline_timer proof_timer_{[this] {
        ++proof_number_;
        schedule_proof_failure();
    }};
    QObject proof_context_;
    QObject shutdown_context_;
    std::uint64_t proof_number_ = 0;
    std::shared_ptr<void> external_interface_; ///< Empty without an external interface.
    replica_diagnostics diagnostics_{metrics_};
    background_worker writer_; ///< Destroyed first: its work uses the replica and its store.
};

} // namespace

auto start_control_role(const daemon_settings& settings, const daemon_secrets& secrets,
                        const external_interfaces& interfaces) -> result<running_role>
{
    const auto role = std::make_shared<control_role>(settings, secrets, interfaces);
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
