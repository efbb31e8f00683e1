#include "daemon/daemon_role.h"

#include <QTimer>

#include "daemon/admin_server.h"
#include "daemon/client_limits.h"
#include "daemon/coalesced_call.h"
#include "daemon/peer_listener.h"
#include "daemon/publisher_server.h"
#include "daemon/run_channels.h"
#include "daemon/upstream_link.h"

namespace sycamorewinch {

namespace {

/** Shorter than a node's, so that a relay changes its upstream before its nodes abandon it. */
constexpr duration relay_proof_timeout = std::chrono::seconds(4);

/** Minimum time between progress reports to the upstream. */
constexpr auto min_progress_interval = std::chrono::milliseconds(50);
constexpr auto lease_check_period = std::chrono::milliseconds(500);

/** A relay: a subscriber to its upstream and a publisher for the processes below it. */
class relay_role {
  public:
    relay_role(const daemon_settings& settings, const daemon_secrets& secrets)
        : resources_(settings, metrics_),
          admin_(
              metrics_, secrets.operator_token_, [this] { return link_.is_connected(); },
              resources_.limits_of_admin(admin_limits().max_request_bytes_)),
          listener_(secrets.key_, metrics_),
          publisher_(metrics_, {[this] { request_upstream_proof(); },
                                [this](const auto& report) { report_targets(report); },
                                [this] { progress_report_.request(); },
                                [this](const auto& crashes) { report_crashes(crashes); },
                                {},
                                {},
                                [this](const auto& report) {
                                    report_versions(report);
                                }}),
          link_(settings.upstreams_, secrets.key_,
                {settings.name_, settings.availability_zone_, true, system_random(),
                 std::chrono::seconds(1), relay_proof_timeout},
                metrics_,
                {[this](const auto& output) { on_output(output); },
                 [this](bool /*has_changed_upstream*/) {
                     on_connected();
                 }}),
          run_server_(metrics_, [this] { forward_runs(); }),
          run_uplink_({[] {},
                       [this] {
                           run_server_.forwarder().on_upstream_disconnected();
                           run_server_.send_results();
                       },
                       [this](const auto& results) {
                           run_server_.forwarder().on_results(results);
                           run_server_.send_results();
                       }})
    {
        listener_.handle(runs_path, [this](const auto& connection, auto stream) {
            return run_server_.accept(connection, stream);
        });
        listener_.handle(distribution_path, [this](const auto& connection, auto stream) {
            return publisher_.accept(connection, stream);
        });
        QObject::connect(&lease_timer_, &QTimer::timeout, &lease_timer_, [this] {
            publisher_.logic().tick(monotonic_now(), link_.is_connected());
            publisher_.process_output();
        });
    }

    auto start(const daemon_settings& settings) -> result<void>
    {
        if (auto listening = listener_.listen(settings.listen_peers_); !listening) {
            return listening;
        }
        if (auto listening = admin_.listen(settings.listen_admin_); !listening) {
            return listening;
        }
        lease_timer_.start(lease_check_period);
        link_.start();
        return {};
    }

  private:
    void on_connected()
    {
        link_.logic().report_targets({publisher_.logic().leased_targets(), true});
        link_.logic().report_summary(publisher_.logic().targets().digests());
        run_uplink_.open(link_.connection());
        link_.logic().report_progress(publisher_.logic().progress());
    }

    void forward_runs()
    {
        if (run_uplink_.is_open()) {
            while (run_server_.forwarder().has_operations()) {
                run_uplink_.send(run_server_.forwarder().take_operations());
            }
            return;
        }
        run_server_.forwarder().on_upstream_disconnected();
        run_server_.send_results();
    }

    void request_upstream_proof()
    {
        link_.logic().request_proof();
        link_.process_output();
    }

    void report_crashes(const std::vector<crash_record>& crashes)
    {
        link_.logic().report_crashes(crashes);
        link_.process_output();
    }

    void report_versions(const version_report& report)
    {
        link_.logic().report_versions(report);
        link_.process_output();
    }

    void report_targets(const target_report& report)
    {
        link_.logic().report_targets(report);
        link_.process_output();
    }

    void report_progress()
    {
        link_.logic().report_progress(publisher_.logic().progress());
        link_.process_output();
    }

    void on_output(const subscriber_output& output)
    {
        if (output.held_) {
            publisher_.logic().set_table(output.held_);
        }
        if (output.held_rollouts_) {
            publisher_.logic().set_rollouts(*output.held_rollouts_);
        }
        if (!output.targets_.empty()) {
            publisher_.logic().merge_targets({output.targets_, false});
        }
        publisher_.logic().merge_crashes(output.crashes_);
        if (output.sync_) {
            publisher_.logic().merge_sync(*output.sync_, output.sync_replaces_);
        }
        if (output.proof_) {
            publisher_.logic().on_proof(output.proof_->version_, output.proof_->rollout_sequence_);
        }
        publisher_.process_output();
        if (output.held_) {
            report_progress(); // also acknowledges the update to the upstream
        }
    }

    metrics_registry metrics_;
    client_resources resources_;
    admin_server admin_;
    peer_listener listener_;
    publisher_server publisher_;
    upstream_link link_;
    coalesced_call progress_report_{min_progress_interval, [this] {
                                        report_progress();
                                    }};
    QTimer lease_timer_;
    run_server run_server_;
    run_uplink run_uplink_;
};

} // namespace

auto start_relay_role(const daemon_settings& settings, const daemon_secrets& secrets)
    -> result<running_role>
{
    const auto role = std::make_shared<relay_role>(settings, secrets);
    if (auto started = role->start(settings); !started) {
        return tl::unexpected(started.error());
    }
    return running_role{[](const daemon_settings&) {},
                        [](const std::function<void()>& done) { done(); }, role};
}

} // namespace sycamorewinch
