#include "bench/capacity_model.h"

#include <optional>

namespace sycamorewinch {

namespace {

constexpr double seconds_per_day = 86'400;
constexpr double seconds_per_microsecond = 1e-6;
constexpr double bytes_per_megabyte = 1024.0 * 1024.0;
constexpr double percent = 100;
constexpr double node_memory_budget_mb = 64;
constexpr double node_cpu_budget_percent = 3.8;
constexpr double node_bytes_budget = 7'000;
constexpr double vm_budget = 59;
constexpr double core_budget_percent = 100;
constexpr double convergence_budget_ms = 17'000;
/** A restart of a node distributes two records of its target: target gone, target up. */
constexpr double records_per_restart = 2;

/** Evaluates the series of a run. Remembers the error of the first missing series, and collects the
 * sources of the next row. */
class series_reader {
  public:
    explicit series_reader(const raw_run& run) : run_(run) {}

    /** Returns the value of series \p name at \p size on its fitted line, or 0 if it is missing. */
    auto at(const std::string& name, double size) -> double
    {
        const auto found = find_series(run_, name);
        if (!found) {
            first_error_ = first_error_ ? first_error_ : found.error();
            return 0;
        }
        extrapolated_ = extrapolated_ || size > found->points_.back().size_;
        sources_ += (sources_.empty() ? "" : ", ") + name;
        return found->points_.size() < 2 ? found->points_.front().median_
                                         : fit_line(found->points_).at(size);
    }

    /** Returns a row whose sources are the series read since the previous row. */
    auto row(std::string role, std::string quantity, double value, double budget, std::string unit)
        -> capacity_row
    {
        capacity_row new_row{std::move(role), std::move(quantity), value, budget, std::move(unit),
                             sources_,        extrapolated_};
        sources_.clear();
        extrapolated_ = false;
        return new_row;
    }

    [[nodiscard]] auto first_error() const -> const std::optional<error>& { return first_error_; }

  private:
    const raw_run& run_;
    std::optional<error> first_error_;
    std::string sources_;
    bool extrapolated_ = false;
};

/** Sizes and rates computed from the target. */
struct derived_sizes {
    double changes_per_second_;
    double nodes_per_relay_;
    double nodes_per_relay_one_lost_;
    double relays_;
    double target_bytes_per_second_;
};

auto derive_sizes(const capacity_target& target, series_reader& reader) -> derived_sizes
{
    derived_sizes sizes{};
    const auto nodes_per_zone = target.nodes_ / target.zones_;
    sizes.changes_per_second_ = target.changes_per_day_ / seconds_per_day;
    sizes.relays_ = target.zones_ * target.relays_per_zone_;
    sizes.nodes_per_relay_ = nodes_per_zone / target.relays_per_zone_;
    sizes.nodes_per_relay_one_lost_ = nodes_per_zone / (target.relays_per_zone_ - 1);
    const auto record_bytes = reader.at("target_report_bytes", target.nodes_) / target.nodes_;
    sizes.target_bytes_per_second_ =
        record_bytes * records_per_restart * target.restarts_per_day_ / seconds_per_day;
    // Discards the sources of the reads above, so that the first row does not list them.
    static_cast<void>(reader.row("", "", 0, 0, ""));
    return sizes;
}

void add_node_rows(std::vector<capacity_row>& rows, series_reader& reader,
                   const capacity_target& target, const derived_sizes& sizes)
{
    const auto memory = reader.at("process_node_memory", 0) +
                        reader.at("target_heap", target.nodes_) +
                        reader.at("routes_heap", target.services_);
    rows.push_back(reader.row("node", "memory, knowing every target", memory / bytes_per_megabyte,
                              node_memory_budget_mb, "MB"));
    const auto cpu = reader.at("process_node_idle_cpu", 0) +
                     percent * seconds_per_microsecond * sizes.changes_per_second_ *
                         reader.at("process_node_cpu_per_change", 0);
    rows.push_back(
        reader.row("node", "processor for control", cpu, node_cpu_budget_percent, "% of a core"));
    const auto bytes = reader.at("process_node_idle_bytes", 0) +
                       sizes.changes_per_second_ * reader.at("process_node_bytes_per_change", 0) +
                       sizes.target_bytes_per_second_;
    rows.push_back(
        reader.row("node", "message bytes received", bytes, node_bytes_budget, "bytes/s"));
    const auto calls = target.calls_per_second_ / target.nodes_;
    const auto decision_cpu = calls * seconds_per_microsecond * percent *
                              (reader.at("route_cpu_per_call", target.services_) +
                               reader.at("admission_cpu_per_call", 100));
    rows.push_back(reader.row("node", "processor for routing and admission at 165 calls/s",
                              decision_cpu, 0, "% of a core"));
    rows.push_back(reader.row("node", "whole table after a restart",
                              reader.at("whole_table_bytes", target.services_) / bytes_per_megabyte,
                              0, "MB"));
}

void add_relay_rows(std::vector<capacity_row>& rows, series_reader& reader,
                    const capacity_target& target, const derived_sizes& sizes)
{
    const auto nodes = sizes.nodes_per_relay_one_lost_;
    rows.push_back(
        reader.row("relay", "nodes each, one relay of the zone lost", nodes, 0, "nodes"));
    const auto memory =
        reader.at("process_relay_memory", nodes) + reader.at("target_heap", target.nodes_);
    rows.push_back(reader.row("relay", "memory", memory / bytes_per_megabyte, 0, "MB"));
    const auto cpu = reader.at("process_relay_idle_cpu", nodes) +
                     percent * seconds_per_microsecond * sizes.changes_per_second_ *
                         reader.at("process_relay_cpu_per_change", nodes);
    rows.push_back(reader.row("relay", "processor", cpu, core_budget_percent, "% of a core"));
    const auto bytes =
        nodes * sizes.changes_per_second_ * reader.at("process_node_bytes_per_change", 0);
    rows.push_back(reader.row("relay", "message bytes sent for changes", bytes, 0, "bytes/s"));
    const auto restart_bytes =
        sizes.nodes_per_relay_ * reader.at("whole_table_bytes", target.services_);
    rows.push_back(reader.row("relay", "whole tables when all its nodes restart at once",
                              restart_bytes / bytes_per_megabyte, 0, "MB"));
}

void add_control_rows(std::vector<capacity_row>& rows, series_reader& reader,
                      const capacity_target& target, const derived_sizes& sizes)
{
    const auto cpu = reader.at("process_leader_idle_cpu", 0) +
                     percent * seconds_per_microsecond * sizes.changes_per_second_ *
                         reader.at("process_leader_cpu_per_accept", 0);
    rows.push_back(
        reader.row("control leader", "processor", cpu, core_budget_percent, "% of a core"));
    const auto memory =
        reader.at("process_leader_memory", 0) + reader.at("target_heap", target.nodes_);
    rows.push_back(reader.row("control leader", "memory", memory / bytes_per_megabyte, 0, "MB"));
    const auto follower_bytes =
        sizes.changes_per_second_ * reader.at("leader_bytes_per_accept", target.control_vms_);
    rows.push_back(
        reader.row("control leader", "message bytes to followers", follower_bytes, 0, "bytes/s"));
    rows.push_back(reader.row("control leader", "relays connected to each replica",
                              sizes.relays_ / target.control_vms_, 0, "relays"));
    const auto follower_cpu = percent * seconds_per_microsecond * sizes.changes_per_second_ *
                              reader.at("follower_cpu_by_services", target.services_);
    rows.push_back(reader.row("control follower", "processor for accepts", follower_cpu,
                              core_budget_percent, "% of a core"));
    const auto log_growth = target.changes_per_day_ *
                            reader.at("log_bytes_per_accept", target.services_) /
                            bytes_per_megabyte;
    rows.push_back(
        reader.row("control follower", "log growth without compaction", log_growth, 0, "MB/day"));
    rows.push_back(reader.row("all", "VMs set aside, 5 of them spare",
                              sizes.relays_ + target.control_vms_ + 5, vm_budget, "VMs"));
    rows.push_back(reader.row("all", "convergence of one change, two hops on one machine",
                              reader.at("process_convergence_max", sizes.nodes_per_relay_one_lost_),
                              convergence_budget_ms, "ms"));
}

} // namespace

auto compute_capacity(const raw_run& run, const capacity_target& target)
    -> result<std::vector<capacity_row>>
{
    series_reader reader(run);
    const auto sizes = derive_sizes(target, reader);
    std::vector<capacity_row> rows;
    add_node_rows(rows, reader, target, sizes);
    add_relay_rows(rows, reader, target, sizes);
    add_control_rows(rows, reader, target, sizes);
    if (reader.first_error()) {
        return tl::unexpected(*reader.first_error());
    }
    return rows;
}

} // namespace sycamorewinch
