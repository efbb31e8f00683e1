#include "soak/soak_run.h"

#include <algorithm>
#include <fstream>

#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTimer>
#include <fmt/core.h>

#include "cli/control_client.h"
#include "standin/raw_socket.h"

namespace sycamorewinch {

namespace {

using std::chrono::milliseconds;

/** The stated bound: in force everywhere under any single fault. Processes start again in it. */
constexpr milliseconds recovery_time{17'000};
constexpr milliseconds start_time{30'000};
constexpr milliseconds look_period{250};
constexpr milliseconds answer_time{1'000};
/** Longer than a row's timeout: by then a call has its answer or never will. */
constexpr milliseconds last_answers{4'000};
constexpr const char* sample_table =
    "service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,retries,repeatable,"
    "depends_on\n"
    "directory,/directory,,0,0,0,,2000,2,yes,\n"
    "dialer,/dialer,,0,0,0,,2000,2,no,directory\n";

/** Returns the version in force that a node's metrics state; nothing when it says none. */
auto version_in(const std::string& metrics) -> std::optional<std::uint64_t>
{
    constexpr std::string_view name = "\nsycamorewinch_table_version ";
    const auto at = metrics.find(name);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const auto version = std::stoull(metrics.substr(at + name.size()));
    return version == 0 ? std::nullopt : std::optional<std::uint64_t>(version);
}

class soak_play {
  public:
    soak_play(const soak_options& options, soak_system& system)
        : options_(options), system_(system),
          reader_({{}, {}, answer_time, answer_time}) // each look is one short try
    {
    }

    auto play() -> result<soak_outcome>
    {
        if (auto ready = set_up(); !ready) {
            return tl::unexpected(ready.error());
        }
        start_load();
        QObject::connect(&look_timer_, &QTimer::timeout, &look_timer_, [this] { look(); });
        look_timer_.start(look_period);
        auto size = options_.size_;
        size.links_ = system_.links();
        const auto plan = make_soak_plan(options_.seed_, size);
        for (const auto& fault : plan) {
            outcome_.account_.push_back(to_text(fault));
            QTimer::singleShot(fault.at_, &context_, [this, fault] { begin(fault); });
            QTimer::singleShot(fault.at_ + fault.lasts_, &context_,
                               [this, fault] { system_.end(fault); });
        }
        run_events(size.length_);
        recover();
        outcome_.faults_ = plan.size();
        outcome_.processes_ = system_.process_count();
        outcome_.counts_ = book_.counts();
        for (auto& line : book_.broken()) {
            outcome_.broken_.push_back(std::move(line));
        }
        return outcome_;
    }

  private:
    auto tool_arguments() -> QStringList
    {
        return {QStringLiteral("--control"), QString::fromStdString(system_.control_admins()),
                QStringLiteral("--token-file"), QString::fromStdString(system_.token_file()),
                QStringLiteral("--json")};
    }

    /** Runs the operators' tool; \p done gets its exit status and what it printed. */
    void operate(const QStringList& words,
                 const std::function<void(int status, const QByteArray& output)>& done)
    {
        auto* tool = new QProcess(&context_);
        ++tools_running_;
        QObject::connect(tool, &QProcess::finished, tool, [this, tool, done](int status) {
            --tools_running_;
            done(status, tool->readAllStandardOutput());
            tool->deleteLater();
        });
        tool->start(QString::fromStdString(system_.place().bin_folder_ + "/sycamorewinch"),
                    tool_arguments() + words);
    }

    /** Accepts the first table and waits until every node has it. */
    auto set_up() -> result<void>
    {
        const auto file = system_.place().work_folder_ + "/table.csv";
        std::ofstream(file) << sample_table;
        bool is_accepted = false;
        bool is_trying = false;
        const auto try_once = [&] {
            if (!is_accepted && !std::exchange(is_trying, true)) {
                import_table(file, is_accepted, is_trying);
            }
            return is_accepted;
        };
        if (!wait_until(try_once, start_time)) {
            return failure(error_kind::unavailable, "no first table was accepted");
        }
        if (!wait_until([&] { return is_in_force(1); }, start_time)) {
            return failure(error_kind::unavailable, "the first table is not in force everywhere");
        }
        return {};
    }

    void import_table(const std::string& file, bool& is_accepted, bool& is_trying)
    {
        const auto path = QString::fromStdString(file);
        operate({QStringLiteral("table"), QStringLiteral("import"), path},
                [this, path, &is_accepted, &is_trying](int, const auto&) {
                    operate({QStringLiteral("table"), QStringLiteral("accept"), path},
                            [this, &is_accepted, &is_trying](int status, const auto& output) {
                                is_trying = false;
                                is_accepted = status == 0;
                                note_edit("first", status, output);
                            });
                });
    }

    void note_edit(const std::string& edit, int status, const QByteArray& output)
    {
        const auto version = QJsonDocument::fromJson(output)
                                 .object()
                                 .value(QLatin1String("version"))
                                 .toObject()
                                 .value(QLatin1String("number"))
                                 .toInteger();
        if (status == 0 && version > 0) {
            book_.note_accepted(edit, static_cast<std::uint64_t>(version));
        }
    }

    void edit()
    {
        const auto name = fmt::format("edit-{}", ++edits_);
        const auto timeout = QString::number(2'000 + edits_);
        operate({QStringLiteral("--edit-id"), QString::fromStdString(name), QStringLiteral("table"),
                 QStringLiteral("set"), QStringLiteral("directory"), QStringLiteral("timeout_ms"),
                 timeout},
                [this, name](int status, const auto& output) { note_edit(name, status, output); });
    }

    void begin(const soak_fault& fault)
    {
        if (fault.action_ == soak_action::edit || fault.action_ == soak_action::race) {
            edit();
            if (fault.action_ == soak_action::race) {
                edit();
            }
            return;
        }
        system_.begin(fault);
    }

    void start_load()
    {
        const auto calls = options_.calls_per_second_ *
                           static_cast<double>(options_.size_.length_.count()) / 1'000;
        for (const bool is_repeatable : {true, false}) {
            load_options load;
            load.nodes_ = system_.callers();
            load.method_ = is_repeatable ? "GET" : "POST";
            load.path_ = is_repeatable ? "/directory" : "/dialer";
            load.key_prefix_ = is_repeatable ? "get" : "post";
            load.has_key_in_path_ = true;
            load.calls_ = static_cast<std::uint64_t>(calls);
            load.per_second_ = options_.calls_per_second_;
            watch(load, is_repeatable);
            ++loads_running_;
            loads_.push_back(make_load(load, [this](const load_outcome&) { --loads_running_; }));
        }
    }

    void watch(load_options& load, bool is_repeatable)
    {
        load.on_begin_ = [this, is_repeatable](const std::string& key) {
            book_.note_begin(key, is_repeatable);
        };
        load.on_call_ = [this](const call_record& call) {
            book_.note_end(call);
        };
    }

    /** Reads each node's version in force; waiting for answers runs the event loop meanwhile. */
    void look()
    {
        if (std::exchange(is_looking_, true)) {
            return;
        }
        for (const auto& answer : reader_.get_texts(system_.node_admins(), "/metrics")) {
            const auto version = answer.text_ ? version_in(*answer.text_) : std::nullopt;
            if (version) {
                book_.note_version(answer.address_, *version);
                seen_[answer.address_] = *version;
            }
        }
        is_looking_ = false;
    }

    auto is_in_force(std::uint64_t version) -> bool
    {
        seen_.clear();
        look();
        return seen_.size() == system_.node_admins().size() &&
               std::ranges::all_of(seen_, [&](const auto& one) { return one.second >= version; });
    }

    void break_promise(std::string line) { outcome_.broken_.push_back(std::move(line)); }

    /** Ends all faults; the system must then serve, and enforce what was accepted, in time. */
    void recover()
    {
        look_timer_.stop();
        system_.heal();
        const auto is_served = [&] {
            return probe_is_answered();
        };
        if (!wait_until(is_served, recovery_time)) {
            break_promise("no call is answered within 17 s after the last fault");
        }
        if (!wait_until([&] { return is_in_force(book_.newest_accepted()); }, recovery_time)) {
            break_promise(fmt::format("version {} is not in force everywhere 17 s after the last "
                                      "fault",
                                      book_.newest_accepted()));
        }
        (void)wait_until([&] { return loads_running_ == 0 && tools_running_ == 0; },
                         recovery_time + last_answers);
        run_events(last_answers);
        read_table();
        read_journals();
    }

    auto probe_is_answered() -> bool
    {
        if (!probe_ || probe_done_) {
            probe_done_ = false;
            load_options load;
            load.nodes_ = system_.callers();
            load.path_ = "/directory";
            load.key_prefix_ = fmt::format("probe{}", ++probes_);
            load.has_key_in_path_ = true;
            load.calls_ = system_.callers().size();
            watch(load, true);
            probe_ = make_load(load, [this](const load_outcome& outcome) {
                const auto answered = outcome.by_status_.find(200);
                is_probe_answered_ = answered != outcome.by_status_.end() &&
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
            operate({QStringLiteral("table"), QStringLiteral("show")},
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
            break_promise("the table cannot be read 17 s after the last fault");
        }
        book_.note_last_read(version);
    }

    void read_journals()
    {
        for (const auto& file : system_.journals()) {
            std::ifstream journal(file);
            std::string key;
            while (std::getline(journal, key)) {
                book_.note_run(key);
            }
        }
    }

    soak_options options_;
    soak_system& system_;
    control_client reader_;
    promise_book book_;
    soak_outcome outcome_;
    std::vector<std::shared_ptr<void>> loads_;
    std::shared_ptr<void> probe_;
    std::map<std::string, std::uint64_t> seen_; ///< Versions of the latest look, by node.
    unsigned edits_ = 0;
    unsigned probes_ = 0;
    unsigned loads_running_ = 0;
    unsigned tools_running_ = 0;
    bool is_looking_ = false;
    bool is_probe_answered_ = false;
    bool probe_done_ = false;
    QTimer look_timer_;
    QObject context_;
};

} // namespace

auto run_soak(const soak_options& options) -> result<soak_outcome>
{
    auto system = soak_system::start(options.place_, options.size_);
    if (!system) {
        return tl::unexpected(system.error());
    }
    return soak_play(options, **system).play();
}

} // namespace sycamorewinch
