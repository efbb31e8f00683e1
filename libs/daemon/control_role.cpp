#include "daemon/daemon_role.h"

#include <optional>

#include <QTimer>

#include "control/control_replica.h"
#include "daemon/hub_server.h"
#include "daemon/operator_api.h"
#include "daemon/peer_listener.h"
#include "daemon/progress_board.h"
#include "daemon/replica_links.h"
#include "daemon/run_leader.h"
#include "observability/log.h"
#include "storage/replica_store.h"

namespace sycamorewinch {

namespace {

constexpr std::uint64_t disk_reserve_bytes = 64U * 1024 * 1024;
constexpr auto tick_period = std::chrono::milliseconds(10);
constexpr auto lease_check_period = std::chrono::milliseconds(500);
/** Operators send whole tables. */
constexpr admin_limits operator_limits{.request_bytes_ = 8 * 1024 * 1024};
constexpr auto proof_timeout = std::chrono::milliseconds(500);
constexpr auto proof_retry_after = std::chrono::milliseconds(100);

/** A control process: a replica of the table, and a hub for relays and nodes. */
class control_role {
  public:
    control_role(const daemon_settings& settings, const daemon_secrets& secrets)
        : settings_(settings), random_(system_random()),
          admin_(
              metrics_, secrets.operator_token_,
              [this] { return !replica_->raft_state().leader().empty(); }, operator_limits),
          listener_(secrets.key_, metrics_),
          hub_(metrics_,
               {[this] { ask_for_proof(); }, [this](const auto& news) { tell_others(news); },
                [this] { tell_others(progress_report{hub_.logic().progress()}); },
                [this](const auto& news) {
                    tell_others(crash_report{news});
                }}),
          links_(settings.name_, settings.control_peers_, secrets.key_,
                 {[this](const auto& message) { replica_->receive(message, monotonic_now()); },
                  [this](const auto& from, const auto& message) { on_peer(from, message); },
                  [this](const auto& to) { on_peer_connected(to); },
                  [this](const auto& to) { others_progress_.on_disconnected(to, monotonic_now()); },
                  [this](const auto& from, auto bytes) {
                      runs_.receive(from, bytes);
                  }}),
          runs_(metrics_, {[this]() -> control_replica& { return *replica_; },
                           [this](const auto& to, auto bytes) {
                               links_.send_runs(to, bytes);
                           }})
    {
        listener_.handle(distribution_path, [this](const auto& connection, auto stream) {
            return hub_.accept(connection, stream);
        });
        listener_.handle(runs_path, [this](const auto& connection, auto stream) {
            return runs_.accept(connection, stream);
        });
        listener_.handle(replica_path, [this](const auto& connection, auto stream) {
            return links_.accept(connection, stream);
        });
        add_operator_api(admin_, {[this]() -> control_replica& { return *replica_; },
                                  [this] { return total_progress(); },
                                  [this] { return others_progress_.silent(monotonic_now()); },
                                  [this] {
                                      return hub_.logic().targets().records();
                                  }});
        QObject::connect(&progress_timer_, &QTimer::timeout, &progress_timer_,
                         [this] { tell_others(progress_report{hub_.logic().progress()}); });
        QObject::connect(&ticker_, &QTimer::timeout, &ticker_,
                         [this] { replica_->tick(monotonic_now()); });
        QObject::connect(&lease_timer_, &QTimer::timeout, &lease_timer_, [this] {
            hub_.logic().tick(monotonic_now(), !replica_->raft_state().leader().empty());
            hub_.run();
        });
        proof_timer_.setSingleShot(true);
        QObject::connect(&proof_timer_, &QTimer::timeout, &proof_timer_, [this] {
            ++proof_number_;
            fail_proof();
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
        auto replica = control_replica::create(make_options(), store_->take_recovered(),
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
        links_.start();
        ticker_.start(tick_period);
        progress_timer_.start(progress_period);
        lease_timer_.start(lease_check_period);
        return {};
    }

  private:
    auto make_options() const -> raft_options
    {
        raft_options options{.self_ = settings_.name_};
        for (const auto& peer : settings_.control_peers_) {
            options.voters_.push_back(peer.name_);
        }
        options.random_ = random_;
        return options;
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
        hooks.switch_to_ = [this](const log_snapshot& snapshot,
                                  const std::vector<log_entry>& entries) {
            log_event(log_level::info, "snapshot", {{"index", snapshot.index_}});
            return store_->switch_to(snapshot, entries);
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
        hooks.has_room_ = [this] {
            return files_.free_bytes_() >= disk_reserve_bytes;
        };
        hooks.send_ = [this](const raft_message& message) {
            links_.send(message);
        };
        hooks.on_table_ = [this](const table_pointer& table) {
            log_event(log_level::info, "table_accepted", {{"version", table->version_.number_}});
            metrics_.gauge("sycamorewinch_table_version", "Number of the table version accepted.")
                .set(table->version_.number_);
            hub_.logic().set_table(table);
            hub_.run();
        };
        hooks.on_disk_failure_ = [](const error& problem) {
            log_event(log_level::error, "disk_failure", {{"message", problem.message_}});
        };
        return hooks;
    }

    // The leader proves by its own quorum; a follower asks the leader.
    void ask_for_proof()
    {
        const auto number = ++proof_number_;
        proof_timer_.start(proof_timeout);
        const auto& raft = replica_->raft_state();
        if (raft.role() == raft_role::leader) {
            replica_->prove_current(
                [this, number](const result<std::uint64_t>& version) {
                    finish_proof(number, version);
                },
                monotonic_now());
            return;
        }
        if (!raft.leader().empty()) {
            links_.send(raft.leader(), currency_request{number});
        }
    }

    void finish_proof(std::uint64_t number, const result<std::uint64_t>& version)
    {
        if (number != proof_number_) {
            return; // an answer to a question given up
        }
        ++proof_number_;
        proof_timer_.stop();
        if (!version) {
            fail_proof();
            return;
        }
        hub_.logic().on_proof(*version);
        hub_.run();
    }

    void fail_proof()
    {
        QTimer::singleShot(proof_retry_after, &proof_timer_, [this] {
            hub_.logic().on_proof_failed();
            hub_.run();
        });
    }

    void on_peer(const std::string& from, const distribution_message& message)
    {
        if (const auto* request = std::get_if<currency_request>(&message)) {
            prove_for(from, request->nonce_);
        }
        else if (const auto* proof = std::get_if<currency_proof>(&message)) {
            finish_proof(proof->nonce_, proof->version_);
        }
        else if (const auto* crashes = std::get_if<crash_report>(&message)) {
            hub_.logic().merge_crashes(crashes->crashes_);
            hub_.run();
        }
        else if (const auto* targets = std::get_if<target_report>(&message)) {
            hub_.logic().merge_targets(*targets);
            hub_.run();
        }
        else if (const auto* summary = std::get_if<target_summary>(&message)) {
            links_.send(from, target_sync{hub_.logic().targets().differing(summary->digests_)});
        }
        else if (const auto* sync = std::get_if<target_sync>(&message)) {
            hub_.logic().merge_sync(sync->contents_, false);
            hub_.run();
        }
        else if (const auto* progress = std::get_if<progress_report>(&message)) {
            others_progress_.report(from, progress->zones_, monotonic_now());
        }
    }

    void prove_for(const std::string& follower, std::uint64_t nonce)
    {
        replica_->prove_current(
            [this, follower, nonce](const result<std::uint64_t>& version) {
                if (version) {
                    links_.send(follower, currency_proof{nonce, *version});
                }
            },
            monotonic_now());
    }

    void on_peer_connected(const std::string& to)
    {
        links_.send(to, target_report{hub_.logic().held_targets(), true});
        links_.send(to, target_summary{hub_.logic().targets().digests()});
        links_.send(to, progress_report{hub_.logic().progress()});
    }

    void tell_others(const distribution_message& message)
    {
        for (const auto& name : links_.others()) {
            links_.send(name, message);
        }
    }

    auto total_progress() -> std::vector<zone_progress>
    {
        return others_progress_.total(hub_.logic().progress(), monotonic_now());
    }

    daemon_settings settings_;
    random_hook random_;
    metrics_registry metrics_;
    admin_server admin_;
    peer_listener listener_;
    hub_server hub_;
    replica_links links_;
    run_leader runs_;
    file_system files_;
    std::optional<replica_store> store_;
    std::optional<control_replica> replica_;
    progress_board others_progress_;
    QTimer progress_timer_;
    QTimer ticker_;
    QTimer lease_timer_;
    QTimer proof_timer_;
    std::uint64_t proof_number_ = 0;
};

} // namespace

auto start_control_role(const daemon_settings& settings, const daemon_secrets& secrets)
    -> result<running_role>
{
    const auto role = std::make_shared<control_role>(settings, secrets);
    if (auto started = role->start(); !started) {
        return tl::unexpected(started.error());
    }
    return running_role{[](const std::function<void()>& done) { done(); }, role};
}

} // namespace sycamorewinch
