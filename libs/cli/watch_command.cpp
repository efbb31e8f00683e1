#include <algorithm>
#include <ostream>

#include <QElapsedTimer>
#include <QJsonArray>
#include <QThread>
#include <fmt/format.h>

#include "cli/command_list.h"

namespace sycamorewinch {

namespace {

constexpr unsigned long pause_ms = 100;

auto current_version(const QJsonObject& progress) -> std::int64_t
{
    return number_of(progress.value(QLatin1String("version")).toObject(), "number");
}

auto is_in_force(const QJsonArray& zones, std::int64_t wanted) -> bool
{
    return !zones.isEmpty() && std::ranges::all_of(zones, [wanted](const QJsonValue& zone) {
        return number_of(zone.toObject(), "lowest_version") >= wanted;
    });
}

auto zone_line(const QJsonObject& zone, std::int64_t wanted) -> std::string
{
    const auto name = text_of(zone, "zone");
    const auto nodes = number_of(zone, "nodes");
    const auto lowest = number_of(zone, "lowest_version");
    if (lowest >= wanted) {
        return fmt::format("  {}: all {} nodes at version {} or later\n", name, nodes, wanted);
    }
    std::vector<std::string> names;
    for (const auto& behind : zone.value(QLatin1String("names")).toArray()) {
        names.push_back(behind.toString().toStdString());
    }
    const auto at_lowest = number_of(zone, "at_lowest");
    const bool has_more = static_cast<std::size_t>(at_lowest) > names.size();
    return fmt::format("  {}: {} of {} nodes still at version {}: {}{}\n", name, at_lowest, nodes,
                       lowest, fmt::join(names, ", "), has_more ? ", ..." : "");
}

/** Says which replicas cannot speak for their nodes: those that reach no other are not counted. */
void report_silent(command_context& context, const QJsonObject& progress)
{
    for (const auto& name : progress.value(QLatin1String("silent_replicas")).toArray()) {
        context.errors_ << fmt::format(
            "sycamorewinch: {} is silent; nodes that reach no other replica are not counted\n",
            name.toString().toStdString());
    }
}

/** Prints a state of the zones, unless it is the one printed last. */
class progress_printer {
  public:
    explicit progress_printer(command_context& context) : context_(context) {}

    void print(const QJsonArray& zones, std::int64_t wanted)
    {
        if (has_printed_ && zones == last_) {
            return;
        }
        has_printed_ = true;
        last_ = zones;
        if (context_.json_) {
            print_json(context_, {{"version", static_cast<qint64>(wanted)},
                                  {"in_force", is_in_force(zones, wanted)},
                                  {"zones", zones}});
            return;
        }
        context_.out_ << fmt::format("version {}:\n", wanted);
        for (const auto& zone : zones) {
            context_.out_ << zone_line(zone.toObject(), wanted);
        }
        context_.out_.flush();
    }

  private:
    command_context& context_;
    bool has_printed_ = false;
    QJsonArray last_;
};

} // namespace

auto watch_version(command_context& context, const command_words&) -> exit_status
{
    using std::chrono::milliseconds;
    const auto limit = milliseconds(context.options_.watch_timeout_).count();
    std::optional<std::int64_t> wanted;
    if (context.options_.version_) {
        wanted = static_cast<std::int64_t>(*context.options_.version_);
    }
    progress_printer printer(context);
    std::string problem = "no progress was read";
    QElapsedTimer elapsed;
    elapsed.start();
    do {
        const auto progress = fetch(context, "/v1/progress");
        if (progress) {
            wanted = wanted.value_or(current_version(*progress));
            const auto zones = progress->value(QLatin1String("zones")).toArray();
            printer.print(zones, *wanted);
            if (is_in_force(zones, *wanted)) {
                report_silent(context, *progress);
                if (!context.json_) {
                    context.out_ << fmt::format("version {} is in force everywhere\n", *wanted);
                }
                return exit_status::done;
            }
            problem = fmt::format("version {} is not in force everywhere", *wanted);
        }
        else {
            problem = progress.error().message_; // it may pass: a leader is being elected
        }
        QThread::msleep(pause_ms);
    } while (elapsed.elapsed() < limit);
    return fail(context, problem, exit_status::not_in_force);
}

} // namespace sycamorewinch
