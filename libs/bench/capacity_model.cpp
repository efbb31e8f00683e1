#include "bench/capacity_model.h"

#include <optional>

namespace sycamorewinch {

namespace {

constexpr double seconds_per_day = 86'400;
constexpr double microsecond = 1e-6;
constexpr double megabyte = 1024.0 * 1024.0;
constexpr double percent = 100;
constexpr double node_memory_budget_mb = 64;
constexpr double node_cpu_budget_percent = 3.8;
constexpr double node_bytes_budget = 7'000;
constexpr double vm_budget = 59;
constexpr double core_percent = 100;
constexpr double convergence_budget_ms = 17'000;
/** What one record of a target carries up and down again when a node restarts: gone, and up. */
constexpr double records_per_restart = 2;

/** Reads lines from a run and keeps the first series that is missing as the error. */
class line_reader {
  public:
    explicit line_reader(const raw_run& run) : run_(run) {}

    /** Returns the fitted value of series \p name at \p size. */
    auto at(const std::string& name, double size) -> double
    {
        const auto found = find_series(run_, name);
        if (!found) {
            problem_ = problem_ ? problem_ : found.error();
            return 0;
        }
        extrapolated_ = extrapolated_ || size > found->points_.back().size_;
        sources_ += (sources_.empty() ? "" : ", ") + name;
        return found->points_.size() < 2 ? found->points_.front().median_
                                         : fit_line(found->points_).at(size);
    }

    /** Makes a row of what was read since the last one. */
    auto row(std::string role, std::string quantity, double value, double budget, std::string unit)
        -> capacity_row
    {
        capacity_row made{std::move(role), std::move(quantity), value, budget, std::move(unit),
                          sources_,        extrapolated_};
        sources_.clear();
        extrapolated_ = false;
        return made;
    }

    [[nodiscard]] auto problem() const -> const std::optional<error>& { return problem_; }

  private:
    const raw_run& run_;
    std::optional<error> problem_;
    std::string sources_;
    bool extrapolated_ = false;
};

/** Sizes that follow from the target. */
struct derived_sizes {
    double changes_per_second_;
    double nodes_per_relay_;
    double nodes_per_relay_one_lost_;
    double relays_;
    double target_bytes_per_second_;
};

auto derive(const capacity_target& target, line_reader& lines) -> derived_sizes
{
    derived_sizes sizes{};
    const auto nodes_per_zone = target.nodes_ / target.zones_;
    sizes.changes_per_second_ = target.changes_per_day_ / seconds_per_day;
    sizes.relays_ = target.zones_ * target.relays_per_zone_;
    sizes.nodes_per_relay_ = nodes_per_zone / target.relays_per_zone_;
    sizes.nodes_per_relay_one_lost_ = nodes_per_zone / (target.relays_per_zone_ - 1);
    const auto record_bytes = lines.at("target_report_bytes", target.nodes_) / target.nodes_;
    sizes.target_bytes_per_second_ =
        record_bytes * records_per_restart * target.restarts_per_day_ / seconds_per_day;
    static_cast<void>(lines.row("", "", 0, 0, ""));
    return sizes;
}

void add_node_rows(std::vector<capacity_row>& rows, line_reader& lines,
                   const capacity_target& target, const derived_sizes& sizes)
{
    const auto memory = lines.at("process_node_memory", 0) +
                        lines.at("target_heap", target.nodes_) +
                        lines.at("routes_heap", target.services_);
    rows.push_back(lines.row("node", "memory, knowing every target", memory / megabyte,
                             node_memory_budget_mb, "MB"));
    const auto cpu =
        lines.at("process_node_idle_cpu", 0) + percent * microsecond * sizes.changes_per_second_ *
                                                   lines.at("process_node_cpu_per_change", 0);
    rows.push_back(
        lines.row("node", "processor for control", cpu, node_cpu_budget_percent, "% of a core"));
    const auto bytes = lines.at("process_node_idle_bytes", 0) +
                       sizes.changes_per_second_ * lines.at("process_node_bytes_per_change", 0) +
                       sizes.target_bytes_per_second_;
    rows.push_back(
        lines.row("node", "message bytes received", bytes, node_bytes_budget, "bytes/s"));
    const auto calls = target.calls_per_second_ / target.nodes_;
    const auto decisions = calls * microsecond * percent *
                           (lines.at("route_cpu_per_call", target.services_) +
                            lines.at("admission_cpu_per_call", 100));
    rows.push_back(lines.row("node", "processor for routing and admission at 165 calls/s",
                             decisions, 0, "% of a core"));
    rows.push_back(lines.row("node", "whole table after a restart",
                             lines.at("whole_table_bytes", target.services_) / megabyte, 0, "MB"));
}

void add_relay_rows(std::vector<capacity_row>& rows, line_reader& lines,
                    const capacity_target& target, const derived_sizes& sizes)
{
    const auto nodes = sizes.nodes_per_relay_one_lost_;
    rows.push_back(lines.row("relay", "nodes each, one relay of the zone lost", nodes, 0, "nodes"));
    const auto memory =
        lines.at("process_relay_memory", nodes) + lines.at("target_heap", target.nodes_);
    rows.push_back(lines.row("relay", "memory", memory / megabyte, 0, "MB"));
    const auto cpu = lines.at("process_relay_idle_cpu", nodes) +
                     percent * microsecond * sizes.changes_per_second_ *
                         lines.at("process_relay_cpu_per_change", nodes);
    rows.push_back(lines.row("relay", "processor", cpu, core_percent, "% of a core"));
    const auto bytes =
        nodes * sizes.changes_per_second_ * lines.at("process_node_bytes_per_change", 0);
    rows.push_back(lines.row("relay", "message bytes sent for changes", bytes, 0, "bytes/s"));
    const auto storm = sizes.nodes_per_relay_ * lines.at("whole_table_bytes", target.services_);
    rows.push_back(lines.row("relay", "whole tables when all its nodes restart at once",
                             storm / megabyte, 0, "MB"));
}

void add_control_rows(std::vector<capacity_row>& rows, line_reader& lines,
                      const capacity_target& target, const derived_sizes& sizes)
{
    const auto cpu =
        lines.at("process_leader_idle_cpu", 0) + percent * microsecond * sizes.changes_per_second_ *
                                                     lines.at("process_leader_cpu_per_accept", 0);
    rows.push_back(lines.row("control leader", "processor", cpu, core_percent, "% of a core"));
    const auto memory =
        lines.at("process_leader_memory", 0) + lines.at("target_heap", target.nodes_);
    rows.push_back(lines.row("control leader", "memory", memory / megabyte, 0, "MB"));
    const auto replicated =
        sizes.changes_per_second_ * lines.at("leader_bytes_per_accept", target.control_vms_);
    rows.push_back(
        lines.row("control leader", "message bytes to followers", replicated, 0, "bytes/s"));
    rows.push_back(lines.row("control leader", "relays connected to each replica",
                             sizes.relays_ / target.control_vms_, 0, "relays"));
    const auto follower = percent * microsecond * sizes.changes_per_second_ *
                          lines.at("follower_cpu_by_services", target.services_);
    rows.push_back(lines.row("control follower", "processor for accepts", follower, core_percent,
                             "% of a core"));
    const auto growth =
        target.changes_per_day_ * lines.at("log_bytes_per_accept", target.services_) / megabyte;
    rows.push_back(
        lines.row("control follower", "log growth without compaction", growth, 0, "MB/day"));
    rows.push_back(lines.row("all", "VMs set aside, 5 of them spare",
                             sizes.relays_ + target.control_vms_ + 5, vm_budget, "VMs"));
    rows.push_back(lines.row("all", "convergence of one change, two hops on one machine",
                             lines.at("process_convergence_max", sizes.nodes_per_relay_one_lost_),
                             convergence_budget_ms, "ms"));
}

} // namespace

auto work_out_capacity(const raw_run& run, const capacity_target& target)
    -> result<std::vector<capacity_row>>
{
    line_reader lines(run);
    const auto sizes = derive(target, lines);
    std::vector<capacity_row> rows;
    add_node_rows(rows, lines, target, sizes);
    add_relay_rows(rows, lines, target, sizes);
    add_control_rows(rows, lines, target, sizes);
    if (lines.problem()) {
        return tl::unexpected(*lines.problem());
    }
    return rows;
}

} // namespace sycamorewinch
