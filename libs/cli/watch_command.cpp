#include <algorithm>
#include <ostream>

#include <QElapsedTimer>
#include <QJsonArray>
#include <QThread>
#include <fmt/format.h>

#include "cli/command_list.h"

namespace sycamorewinch {

namespace {

constexpr unsigned long poll_interval_ms = 100;

auto current_version(const QJsonObject& progress) -> std::int64_t
{
    return number_of(progress.value(QLatin1String("version")).toObject(), "number");
}

auto is_in_force(const QJsonArray& zones, std::int64_t wanted_version) -> bool
{
    return !zones.isEmpty() && std::ranges::all_of(zones, [wanted_version](const QJsonValue& zone) {
        return number_of(zone.toObject(), "lowest_version") >= wanted_version;
    });
}

auto format_zone(const QJsonObject& zone, std::int64_t wanted_version) -> std::string
{
    const auto name = text_of(zone, "zone");
    const auto nodes = number_of(zone, "nodes");
    const auto lowest = number_of(zone, "lowest_version");
    if (lowest >= wanted_version) {
        return fmt::format("  {}: all {} nodes at version {} or later\n", name, nodes,
                           wanted_version);
    }
    std::vector<std::string> names;
    for (const auto& node_name : zone.value(QLatin1String("names")).toArray()) {
        names.push_back(node_name.toString().toStdString());
    }
    const auto at_lowest = number_of(zone, "at_lowest");
    const bool has_more = static_cast<std::size_t>(at_lowest) > names.size();
    return fmt::format("  {}: {} of {} nodes still at version {}: {}{}\n", name, at_lowest, nodes,
                       lowest, fmt::join(names, ", "), has_more ? ", ..." : "");
}

/** Warns about the replicas that do not report. Nodes that are connected only to such replicas are
 * missing from the zones. */
void report_silent_replicas(command_context& context, const QJsonObject& progress)
{
    for (const auto& name : progress.value(QLatin1String("silent_replicas")).toArray()) {
        context.errors_ << fmt::format("sycamorewinch: control replica {} is not reporting; "
                                       "nodes that reach no other replica are not counted\n",
                                       name.toString().toStdString());
    }
}

/** Prints the state of the zones whenever it differs from the last printed state. */
class progress_printer {
  public:
    explicit progress_printer(command_context& context) : context_(context) {}

    void print(const QJsonArray& zones, std::int64_t wanted_version)
    {
        if (has_printed_ && zones == last_printed_zones_) {
            return;
        }
        has_printed_ = true;
        last_printed_zones_ = zones;
        if (context_.json_) {
            print_json(context_, {{"version", static_cast<qint64>(wanted_version)},
                                  {"in_force", is_in_force(zones, wanted_version)},
                                  {"zones", zones}});
            return;
        }
        context_.out_ << fmt::format("version {}:\n", wanted_version);
        for (const auto& zone : zones) {
            context_.out_ << format_zone(zone.toObject(), wanted_version);
        }
        context_.out_.flush();
    }

  private:
    command_context& context_;
    bool has_printed_ = false;
    QJsonArray last_printed_zones_;
};

} // namespace

auto watch_version(command_context& context, const command_words&) -> exit_status
{
    using std::chrono::milliseconds;
    const auto timeout_ms = milliseconds(context.options_.watch_timeout_).count();
    std::optional<std::int64_t> wanted_version;
    if (context.options_.version_) {
        wanted_version = static_cast<std::int64_t>(*context.options_.version_);
    }
    progress_printer printer(context);
    std::string problem = "could not read the progress of the nodes";
    QElapsedTimer elapsed;
    elapsed.start();
    do {
        const auto progress = fetch(context, "/v1/progress");
        if (progress) {
            wanted_version = wanted_version.value_or(current_version(*progress));
            const auto zones = progress->value(QLatin1String("zones")).toArray();
            printer.print(zones, *wanted_version);
            if (is_in_force(zones, *wanted_version)) {
                report_silent_replicas(context, *progress);
                if (!context.json_) {
                    context.out_ << fmt::format("version {} is in force everywhere\n",
                                                *wanted_version);
                }
                return exit_status::done;
            }
            problem = fmt::format("version {} is not in force everywhere", *wanted_version);
        }
        else {
            problem = progress.error().message_; // may be temporary, such as a leader election
        }
        QThread::msleep(poll_interval_ms);
    } while (elapsed.elapsed() < timeout_ms);
    return fail(context, problem, exit_status::not_in_force);
}

} // namespace sycamorewinch
