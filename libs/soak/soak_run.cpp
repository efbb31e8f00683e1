#include "soak/soak_run.h"

#include <algorithm>
#include <fstream>

#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTimer>
#include <fmt/core.h>

#include "cli/control_client.h"
#include "standin/loopback_socket.h"
#include "standin/standin_target.h"

namespace sycamorewinch {

namespace {

using std::chrono::milliseconds;

/** Documented upper bound for a version to come into force on every node despite any single fault,
 * including the restart of processes. */
constexpr milliseconds recovery_time{17'000};
constexpr milliseconds start_timeout{30'000};
constexpr milliseconds poll_period{250};
constexpr milliseconds request_timeout{1'000};
/** Longer than the timeout_ms of each row: a call without a response by then never gets one. */
constexpr milliseconds late_response_time{4'000};
constexpr const char* sample_table =
    "service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,retries,repeatable,"
    "depends_on\n"
    "directory,/directory,,0,0,0,,2000,2,yes,\n"
    "dialer,/dialer,,0,0,0,,2000,2,no,directory\n"
    "archive,/archive,,0,0,0,,1500,1,yes,\n";

/** The calls of one row. */
struct row_load {
    std::string service_;
    std::string method_;
    std::string key_prefix_;
    bool is_repeatable_ = true;
    milliseconds time_allowed_{0}; ///< The row's timeout_ms in its first version; edits raise it.
    double share_ = 1;             ///< Of soak_options::calls_per_second_.
};

const row_load directory_load{"directory", "GET", "get", true, milliseconds(2'000)};
const row_load dialer_load{"dialer", "POST", "post", false, milliseconds(2'000)};
/** Its targets answer at about the timeout, or not at all. */
const row_load archive_load{"archive", "GET", "slow", true, milliseconds(1'500), 0.4};

/** Returns the version in force according to a node's metrics; nothing if there is none yet. */
auto parse_table_version(const std::string& metrics) -> std::optional<std::uint64_t>
{
    constexpr std::string_view name = "\nsycamorewinch_table_version ";
    const auto at = metrics.find(name);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const auto version = std::stoull(metrics.substr(at + name.size()));
    return version == 0 ? std::nullopt : std::optional<std::uint64_t>(version);
}

class soak_runner {
  public:
    soak_runner(const soak_options& options, soak_system& system)
        : options_(options), system_(system),
          metrics_client_({{}, {}, request_timeout, request_timeout}) // one short attempt per poll
    {
    }

    auto run() -> result<soak_result>
    {
        if (auto ready = install_first_table(); !ready) {
            return tl::unexpected(ready.error());
        }
        start_load();
        QObject::connect(&poll_timer_, &QTimer::timeout, &poll_timer_, [this] { poll_versions(); });
        poll_timer_.start(poll_period);
        auto size = options_.size_;
        size.links_ = system_.links();
        const auto plan = make_soak_plan(options_.seed_, size);
        for (const auto& fault : plan) {
            result_.fault_log_.push_back(to_text(fault));
            QTimer::singleShot(fault.start_, &context_, [this, fault] { inject_fault(fault); });
            QTimer::singleShot(fault.start_ + fault.duration_, &context_,
                               [this, fault] { system_.clear_fault(fault); });
        }
        run_events(size.length_);
        recover();
        result_.faults_ = plan.size();
        result_.processes_ = system_.process_count();
        result_.counts_ = checker_.counts();
        for (auto& line : checker_.violations()) {
            result_.violations_.push_back(std::move(line));
        }
        return result_;
    }

  private:
    auto tool_arguments() -> QStringList
    {
        return {QStringLiteral("--control"), QString::fromStdString(system_.control_admins()),
                QStringLiteral("--token-file"), QString::fromStdString(system_.token_file()),
                QStringLiteral("--json")};
    }

    /** Runs the command-line tool; \p done gets its exit status and standard output. */
    void run_tool(const QStringList& command,
                  const std::function<void(int status, const QByteArray& output)>& done)
    {
        auto* tool = new QProcess(&context_);
        ++tools_running_;
        QObject::connect(tool, &QProcess::finished, tool, [this, tool, done](int status) {
            --tools_running_;
            done(status, tool->readAllStandardOutput());
            tool->deleteLater();
        });
        tool->start(QString::fromStdString(system_.paths().bin_folder_ + "/sycamorewinch"),
                    tool_arguments() + command);
    }

    /** Accepts the first table and waits until every node has it. */
    auto install_first_table() -> result<void>
    {
        const auto file = system_.paths().work_folder_ + "/table.csv";
        std::ofstream(file) << sample_table;
        bool is_accepted = false;
        bool is_importing = false;
        const auto try_import = [&] {
            if (!is_accepted && !std::exchange(is_importing, true)) {
                import_and_accept_table(file, is_accepted, is_importing);
            }
            return is_accepted;
        };
        if (!wait_until(try_import, start_timeout)) {
            return failure(error_kind::unavailable, "the first table was not accepted within 30 s");
        }
        if (!wait_until([&] { return is_in_force(1); }, start_timeout)) {
            return failure(error_kind::unavailable,
                           "the first table is not in force on every node within 30 s");
        }
        return {};
    }

    void import_and_accept_table(const std::string& file, bool& is_accepted, bool& is_importing)
    {
        const auto path = QString::fromStdString(file);
        run_tool({QStringLiteral("table"), QStringLiteral("import"), path},
                 [this, path, &is_accepted, &is_importing](int, const auto&) {
                     run_tool({QStringLiteral("table"), QStringLiteral("accept"), path},
                              [this, &is_accepted, &is_importing](int status, const auto& output) {
                                  is_importing = false;
                                  is_accepted = status == 0;
                                  record_edit("first", status, output);
                              });
                 });
    }

    void record_edit(const std::string& edit, int status, const QByteArray& output)
    {
        const auto version = QJsonDocument::fromJson(output)
                                 .object()
                                 .value(QLatin1String("version"))
                                 .toObject()
                                 .value(QLatin1String("number"))
                                 .toInteger();
        if (status == 0 && version > 0) {
            checker_.record_accepted_edit(edit, static_cast<std::uint64_t>(version));
        }
    }

    void edit()
    {
        const auto name = fmt::format("edit-{}", ++edits_);
        const auto timeout = QString::number(2'000 + edits_);
        run_tool(
            {QStringLiteral("--edit-id"), QString::fromStdString(name), QStringLiteral("table"),
             QStringLiteral("set"), QStringLiteral("directory"), QStringLiteral("timeout_ms"),
             timeout},
            [this, name](int status, const auto& output) { record_edit(name, status, output); });
    }

    void inject_fault(const soak_fault& fault)
    {
        if (fault.action_ == soak_action::edit || fault.action_ == soak_action::race) {
            edit();
            if (fault.action_ == soak_action::race) {
                edit();
            }
            return;
        }
        system_.inject_fault(fault);
    }

    void start_load()
    {
        for (const auto& row : {directory_load, dialer_load, archive_load}) {
            auto load = make_load(row);
            load.per_second_ = options_.calls_per_second_ * row.share_;
            load.calls_ = static_cast<std::uint64_t>(
                load.per_second_ * static_cast<double>(options_.size_.length_.count()) / 1'000);
            ++loads_running_;
            loads_.push_back(generate_load(load, [this](const load_result&) { --loads_running_; }));
        }
    }

    auto make_load(const row_load& row) -> load_options
    {
        load_options load;
        load.nodes_ = system_.callers();
        load.method_ = row.method_;
        load.path_ = "/" + row.service_;
        load.key_prefix_ = row.key_prefix_;
        load.append_key_to_path_ = true;
        load.on_call_started_ = [this, row](const call_record& call) {
            checker_.record_call_start({call.key_, row.is_repeatable_, row.time_allowed_});
            losses_at_start_[call.key_] = system_.response_losses(call.node_);
        };
        load.on_call_ = [this](const call_record& call) {
            const auto at_start = losses_at_start_[call.key_];
            const bool worked = at_start && at_start == system_.response_losses(call.node_);
            checker_.record_call_end(call, worked ? caller_path::worked : caller_path::failed);
        };
        return load;
    }

    /** Reads each node's version in force. Runs the event loop while waiting, so the timer may call
     * it again; is_polling_ prevents nested polls. */
    void poll_versions()
    {
        if (std::exchange(is_polling_, true)) {
            return;
        }
        for (const auto& response : metrics_client_.get_texts(system_.node_admins(), "/metrics")) {
            const auto version =
                response.text_ ? parse_table_version(*response.text_) : std::nullopt;
            if (version) {
                checker_.record_version(response.address_, *version);
                versions_[response.address_] = *version;
            }
        }
        is_polling_ = false;
    }

    auto is_in_force(std::uint64_t version) -> bool
    {
        versions_.clear();
        poll_versions();
        return versions_.size() == system_.node_admins().size() &&
               std::ranges::all_of(versions_,
                                   [&](const auto& entry) { return entry.second >= version; });
    }

    void add_violation(std::string line) { result_.violations_.push_back(std::move(line)); }

    /** Clears all faults; the system must then answer calls and have the newest accepted version in
     * force on every node within recovery_time. */
    void recover()
    {
        poll_timer_.stop();
        system_.clear_faults();
        const auto is_serving = [&] {
            return is_probe_answered();
        };
        if (!wait_until(is_serving, recovery_time)) {
            add_violation("not every node answers calls within 17 s after the last fault");
        }
        if (!wait_until([&] { return is_in_force(checker_.newest_accepted()); }, recovery_time)) {
            add_violation(fmt::format("version {} is not in force everywhere 17 s after the last "
                                      "fault",
                                      checker_.newest_accepted()));
        }
        (void)wait_until([&] { return loads_running_ == 0 && tools_running_ == 0; },
                         recovery_time + late_response_time);
        run_events(late_response_time);
        read_table();
        read_journals();
    }

    auto is_probe_answered() -> bool
    {
        if (!probe_ || probe_done_) {
            probe_done_ = false;
            auto load = make_load(directory_load);
            load.key_prefix_ = fmt::format("probe{}", ++probes_);
            load.calls_ = system_.callers().size();
            probe_ = generate_load(load, [this](const load_result& measured) {
                const auto answered = measured.by_status_.find(200);
                is_probe_answered_ = answered != measured.by_status_.end() &&
                                     answered->second == system_.callers().size();
                probe_done_ = true;
            });
        }
        return is_probe_answered_;
    }

    void read_table()
    {
        std::uint64_t version = 0;
        bool is_read = false;
        const auto read = [&] {
            run_tool({QStringLiteral("table"), QStringLiteral("show")},
                     [&](int status, const QByteArray& output) {
                         const auto object = QJsonDocument::fromJson(output).object();
                         version = static_cast<std::uint64_t>(object.value(QLatin1String("version"))
                                                                  .toObject()
                                                                  .value(QLatin1String("number"))
                                                                  .toInteger());
                         is_read = status == 0;
                     });
            return wait_until([&] { return tools_running_ == 0; }, recovery_time) && is_read;
        };
        if (!wait_until(read, recovery_time)) {
            add_violation("the table cannot be read 17 s after the last fault");
        }
        checker_.record_final_version(version);
    }

    void read_journals()
    {
        for (const auto& file : system_.journals()) {
            std::ifstream journal(file);
            std::string key;
            while (std::getline(journal, key)) {
                if (key.starts_with(disallowed_request_mark)) {
                    add_violation(key.substr(disallowed_request_mark.size()));
                    continue;
                }
                checker_.record_run(key);
            }
        }
    }

    soak_options options_;
    soak_system& system_;
    control_client metrics_client_;
    guarantee_checker checker_;
    soak_result result_;
    std::vector<std::shared_ptr<void>> loads_;
    std::shared_ptr<void> probe_;
    std::map<std::string, std::uint64_t> versions_;                  ///< Latest version by node.
    std::map<std::string, std::optional<unsigned>> losses_at_start_; ///< Response losses, by call.
    unsigned edits_ = 0;
    unsigned probes_ = 0;
    unsigned loads_running_ = 0;
    unsigned tools_running_ = 0;
    bool is_polling_ = false;
    bool is_probe_answered_ = false;
    bool probe_done_ = false;
    QTimer poll_timer_;
    QObject context_;
};

} // namespace

auto run_soak(const soak_options& options) -> result<soak_result>
{
    auto system = soak_system::start(options.paths_, options.size_);
    if (!system) {
        return tl::unexpected(system.error());
    }
    return soak_runner(options, **system).run();
}

} // namespace sycamorewinch
