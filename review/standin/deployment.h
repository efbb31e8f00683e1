/** \file
 * A small deployment on loopback addresses: the project's processes, started by the commands of
 * the deploy file with settings made from its templates, and the operator's calls.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

#include "http.h"
#include "record.h"

namespace review {

/** One machine with one process of the system. */
struct machine {
    std::string name_;
    std::string role_; ///< node or control.
    std::string ip_;
    std::string zone_;
    std::string service_; ///< Of the server beside a node.
    pid_t process_ = -1;
};

/** The machines, their processes and their settings files in a temporary folder. Every process is
 * ended with the deployment. */
class deployment {
  public:
    /** \p cores control machines and one node for each of \p services, in turn over the zones. */
    deployment(record& record, unsigned cores, const std::vector<std::string>& services);
    deployment(const deployment&) = delete;
    auto operator=(const deployment&) -> deployment& = delete;
    deployment(deployment&&) = delete;
    auto operator=(deployment&&) -> deployment& = delete;
    ~deployment();

    /** Starts every process; returns false if one cannot be started. */
    auto start() -> bool;
    void start(machine& which, bool is_first_start);
    /** Sends \p number to the process of \p which. */
    void signal(const machine& which, int number);
    /** Waits until the process has ended; returns false if it has not by then. */
    auto wait_for_end(machine& which, milliseconds patience) -> bool;
    /** Returns whether the process runs. */
    [[nodiscard]] auto is_running(machine& which) -> bool;

    [[nodiscard]] auto node(std::size_t index) -> machine& { return nodes_.at(index); }
    [[nodiscard]] auto core(std::size_t index) -> machine& { return cores_.at(index); }
    [[nodiscard]] auto cores() const -> std::size_t { return cores_.size(); }

    [[nodiscard]] auto app(const machine& of) const -> address { return at(of, 0); }
    [[nodiscard]] auto outbound(const machine& of) const -> address { return at(of, 1); }
    [[nodiscard]] auto ready(const machine& of) const -> address { return at(of, 2); }
    [[nodiscard]] auto control(const machine& of) const -> address { return at(of, 3); }
    [[nodiscard]] auto metrics(const machine& of) const -> address { return at(of, 5); }

    /** Waits until \p which answers 200 on its readiness address. */
    auto wait_until_ready(const machine& which, milliseconds patience) -> bool;

    /** Sends a configuration as the operator does: to any control machine, again until it has a
     * clear answer. Returns the final status, or 0. */
    auto put_config(const std::string& base, const std::string& body, milliseconds patience) -> int;
    /** Returns what the process of \p which has logged. */
    [[nodiscard]] auto log_of(const machine& which) const -> std::string;
    /** Returns the control machine that the others name as the leader; nullptr if none does. */
    [[nodiscard]] auto find_leader() -> machine*;

    /** Reads the configuration back; empty if no machine answers with one. */
    auto get_config(milliseconds patience) -> std::string;

  private:
    [[nodiscard]] auto at(const machine& of, unsigned offset) const -> address
    {
        return {of.ip_, static_cast<std::uint16_t>(port_ + offset)};
    }
    [[nodiscard]] auto operator_call(const request& what, milliseconds patience) -> response;
    [[nodiscard]] auto settings_of(const machine& which, bool is_first_start) const -> std::string;

    record& record_;
    std::string folder_;
    std::uint16_t port_ = 0; ///< First port; the same on all machines.
    std::vector<machine> cores_;
    std::vector<machine> nodes_;
    std::size_t next_core_ = 0;
};

/** One route of a configuration. */
struct route {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string service_;
    std::string kind_ = "safe";
    int timeout_ms_ = 2'000;
    int target_latency_ms_ = 500;
    int attempts_ = 2;
};

/** Returns a configuration as JSON. */
[[nodiscard]] auto make_config(const std::string& version, const std::vector<route>& routes,
                               const std::vector<std::string>& services) -> std::string;

/** Returns whether the environment asks for the disruption: TROUBLE is not 0. */
[[nodiscard]] auto has_trouble() -> bool;

/** Returns a fresh request id. */
[[nodiscard]] auto make_id() -> std::string;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

} // namespace review
