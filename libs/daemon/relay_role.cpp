#include "daemon/daemon_role.h"

#include <QTimer>

#include "daemon/admin_server.h"
#include "daemon/peer_listener.h"
#include "daemon/publisher_server.h"
#include "daemon/run_channels.h"
#include "daemon/upstream_link.h"

namespace sycamorewinch {

namespace {

/** Shorter than a node's, so that a relay has changed upstream before its nodes leave it. */
constexpr duration relay_proof_timeout = std::chrono::seconds(4);

/** At most one report of progress goes upwards in this time. */
constexpr auto progress_period = std::chrono::milliseconds(50);
constexpr auto lease_check_period = std::chrono::milliseconds(500);

/** A relay: a subscriber upwards, a publisher downwards. */
class relay_role {
  public:
    relay_role(const daemon_settings& settings, const daemon_secrets& secrets)
        : admin_(metrics_, secrets.operator_token_, [this] { return link_.is_connected(); }),
          listener_(secrets.key_, metrics_),
          publisher_(metrics_, {[this] { ask_for_proof(); },
                                [this](const auto& news) { report_targets(news); },
                                [this] { report_progress_soon(); },
                                [this](const auto& news) {
                                    report_crashes(news);
                                }}),
          link_(settings.upstreams_, secrets.key_,
                {settings.name_, settings.availability_zone_, true, system_random(),
                 std::chrono::seconds(1), relay_proof_timeout},
                metrics_,
                {[this](const auto& output) { on_output(output); },
                 [this](bool /*is_moved*/) {
                     on_connected();
                 }}),
          runs_(metrics_, [this] { pass_runs_on(); }),
          runs_up_({[] {},
                    [this] {
                        runs_.logic().on_upstream_lost();
                        runs_.answer();
                    },
                    [this](const auto& results) {
                        runs_.logic().on_results(results);
                        runs_.answer();
                    }})
    {
        listener_.handle(runs_path, [this](const auto& connection, auto stream) {
            return runs_.accept(connection, stream);
        });
        listener_.handle(distribution_path, [this](const auto& connection, auto stream) {
            return publisher_.accept(connection, stream);
        });
        progress_timer_.setSingleShot(true);
        QObject::connect(&progress_timer_, &QTimer::timeout, &progress_timer_,
                         [this] { report_progress(); });
        QObject::connect(&lease_timer_, &QTimer::timeout, &lease_timer_, [this] {
            publisher_.logic().tick(monotonic_now(), link_.is_connected());
            publisher_.run();
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
        runs_up_.open(link_.connection());
        link_.logic().report_progress(publisher_.logic().progress());
    }

    void pass_runs_on()
    {
        if (runs_up_.is_open()) {
            runs_up_.send(runs_.logic().take_upward());
            return;
        }
        runs_.logic().on_upstream_lost();
        runs_.answer();
    }

    void ask_for_proof()
    {
        link_.logic().request_proof();
        link_.run();
    }

    void report_crashes(const std::vector<crash_record>& news)
    {
        link_.logic().report_crashes(news);
        link_.run();
    }

    void report_targets(const target_report& news)
    {
        link_.logic().report_targets(news);
        link_.run();
    }

    void report_progress_soon()
    {
        if (!progress_timer_.isActive()) {
            progress_timer_.start(progress_period);
        }
    }

    void report_progress()
    {
        link_.logic().report_progress(publisher_.logic().progress());
        link_.run();
    }

    void on_output(const subscriber_output& output)
    {
        if (output.held_) {
            publisher_.logic().set_table(output.held_);
        }
        if (!output.targets_.empty()) {
            publisher_.logic().merge_targets({output.targets_, false});
        }
        publisher_.logic().merge_crashes(output.crashes_);
        if (output.sync_) {
            publisher_.logic().merge_sync(*output.sync_, output.sync_replaces_);
        }
        if (output.proof_) {
            publisher_.logic().on_proof(*output.proof_);
        }
        publisher_.run();
        if (output.held_) {
            report_progress(); // also tells the upstream that the update has arrived
        }
    }

    metrics_registry metrics_;
    admin_server admin_;
    peer_listener listener_;
    publisher_server publisher_;
    upstream_link link_;
    QTimer progress_timer_;
    QTimer lease_timer_;
    run_server runs_;
    run_uplink runs_up_;
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
