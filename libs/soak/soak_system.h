/** \file
 * The processes and links of one soak run: control processes, relays, and nodes with a target each,
 * all on loopback. Replicas, upstreams and nodes (by callers) are reached through fault proxies.
 */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "soak/child_process.h"
#include "soak/fault_proxy.h"
#include "soak/soak_plan.h"

namespace sycamorewinch {

/** Folders of programs and files, and the first port. */
struct soak_paths {
    std::string bin_folder_;  ///< Contains the programs.
    std::string work_folder_; ///< For data, logs and journals.
    std::uint16_t first_port_ = 0;
};

/** The running system. The destructor kills all processes. */
class soak_system {
  public:
    [[nodiscard]] static auto start(soak_paths paths, const soak_size& size)
        -> result<std::unique_ptr<soak_system>>;

    /** Injects \p fault. Edits are not handled here. */
    void inject_fault(const soak_fault& fault);
    /** Ends \p fault; restarts or resumes the process. */
    void clear_fault(const soak_fault& fault);
    /** Ends all faults. */
    void clear_faults();

    /** Addresses of the nodes for callers, through one proxy each. */
    [[nodiscard]] auto callers() const -> const std::vector<peer_address>& { return callers_; }
    /** Returns the number of faults so far that may have lost responses of \p node to its callers;
     * nothing while the link to it has a fault. */
    [[nodiscard]] auto response_losses(std::size_t node) const -> std::optional<unsigned>;
    /** Admin addresses of the control processes, comma-separated. */
    [[nodiscard]] auto control_admins() const -> std::string;
    [[nodiscard]] auto node_admins() const -> const std::vector<std::string>&
    {
        return node_admins_;
    }
    [[nodiscard]] auto links() const -> unsigned { return static_cast<unsigned>(links_.size()); }
    [[nodiscard]] auto process_count() const -> std::size_t { return processes_.size(); }
    [[nodiscard]] auto paths() const -> const soak_paths& { return paths_; }
    [[nodiscard]] auto token_file() const -> std::string;
    /** Journal files, in which the targets record the requests they ran. */
    [[nodiscard]] auto journals() const -> std::vector<std::string>;

  private:
    soak_system(soak_paths paths, const soak_size& size);

    auto start_controls() -> result<void>;
    auto start_relays() -> result<void>;
    auto start_nodes() -> result<void>;
    auto start_target(unsigned index) -> result<void>;
    void count_response_loss(const soak_fault& fault);
    auto start_daemon(const std::string& name, std::vector<std::string> arguments) -> result<void>;
    /** Starts a proxy in front of \p target and returns its listening address. */
    auto add_link(const peer_address& target) -> result<peer_address>;
    auto add_links(const std::vector<peer_address>& targets) -> result<std::string>;
    [[nodiscard]] auto address(unsigned offset) const -> peer_address;
    [[nodiscard]] auto path(const std::string& name) const -> std::string;
    [[nodiscard]] auto zone_of(unsigned index) const -> std::string;
    void restart(const std::string& process);

    soak_paths paths_;
    soak_size size_;
    std::map<std::string, std::unique_ptr<child_process>> processes_; ///< By name.
    std::vector<std::unique_ptr<fault_proxy>> links_;
    std::vector<peer_address> callers_;
    std::vector<std::string> node_admins_;
    std::vector<unsigned> caller_links_;    ///< Index of each node's link to its callers.
    std::vector<unsigned> response_losses_; ///< By node.
};

} // namespace sycamorewinch
