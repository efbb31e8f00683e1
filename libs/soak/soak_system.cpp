#include "soak/soak_system.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fmt/core.h>

#include "base/random.h"
#include "observability/log.h"

namespace sycamorewinch {

namespace {

/** Port ranges, as offsets from the first port. */
constexpr unsigned control_peer_ports = 0;
constexpr unsigned control_admin_ports = 10;
constexpr unsigned relay_peer_ports = 20;
constexpr unsigned relay_admin_ports = 40;
constexpr unsigned node_peer_ports = 100;
constexpr unsigned node_caller_ports = 400;
constexpr unsigned node_admin_ports = 700;
constexpr unsigned target_ports = 1'000;
constexpr unsigned link_ports = 1'300;

constexpr unsigned zones = 3;
/** Targets are assigned to the services in turn, and those of each service to the zones. */
constexpr std::array service_names{"directory", "dialer", "archive"};
constexpr unsigned slow_service = 2;
/** About the timeout of the row of the slow service, and longer than a run. */
constexpr std::array slow_target_delays_ms{1'450U, 600'000U};

/** A target of the service dialer that states a lower rate than it is offered. */
constexpr unsigned limited_target = 1;
constexpr double stated_rate = 4; ///< Requests per second.
/** A target of the service directory that states it is leaving some time after each start. */
constexpr unsigned leaving_target = 5;
constexpr std::chrono::milliseconds leave_after{2'000};

auto service_of(unsigned index) -> unsigned
{
    return (index + index / zones) % static_cast<unsigned>(service_names.size());
}

/** Returns the arguments that determine how fast a target works. */
auto speed_arguments(unsigned index) -> std::vector<std::string>
{
    if (service_of(index) != slow_service) {
        return {"--delay-ms=5"};
    }
    const auto delay = slow_target_delays_ms.at(index / zones % slow_target_delays_ms.size());
    return {fmt::format("--delay-ms={}", delay), "--slots=1000"};
}

/** Returns the arguments that determine what a target states in its responses. */
auto statement_arguments(unsigned index) -> std::vector<std::string>
{
    if (index == limited_target) {
        return {fmt::format("--stated-rate={}", stated_rate)};
    }
    if (index == leaving_target) {
        return {fmt::format("--leave-after-ms={}", leave_after.count())};
    }
    return {};
}

void write_secret(const std::string& file)
{
    std::ofstream out(file);
    const auto random = system_random();
    out << fmt::format("{:016x}{:016x}{:016x}\n", random(), random(), random());
}

} // namespace

soak_system::soak_system(soak_paths paths, const soak_size& size)
    : paths_(std::move(paths)), size_(size)
{
}

auto soak_system::start(soak_paths paths, const soak_size& size)
    -> result<std::unique_ptr<soak_system>>
{
    std::unique_ptr<soak_system> system(new soak_system(std::move(paths), size));
    write_secret(system->path("key"));
    write_secret(system->token_file());
    const auto started =
        system->start_controls().and_then([&] { return system->start_relays(); }).and_then([&] {
            return system->start_nodes();
        });
    if (!started) {
        return tl::unexpected(started.error());
    }
    return system;
}

auto soak_system::path(const std::string& name) const -> std::string
{
    return paths_.work_folder_ + "/" + name;
}

auto soak_system::token_file() const -> std::string
{
    return path("token");
}

auto soak_system::address(unsigned offset) const -> peer_address
{
    return {"127.0.0.1", static_cast<std::uint16_t>(paths_.first_port_ + offset)};
}

auto soak_system::zone_of(unsigned index) const -> std::string
{
    return fmt::format("zone-{}", index % zones);
}

auto soak_system::add_link(const peer_address& target) -> result<peer_address>
{
    const auto listen = address(link_ports + links());
    auto proxy = fault_proxy::start(listen, target);
    if (!proxy) {
        return tl::unexpected(proxy.error());
    }
    links_.push_back(std::move(*proxy));
    return listen;
}

auto soak_system::add_links(const std::vector<peer_address>& targets) -> result<std::string>
{
    std::string list;
    for (const auto& target : targets) {
        const auto link = add_link(target);
        if (!link) {
            return tl::unexpected(link.error());
        }
        list += (list.empty() ? "" : ",") + to_text(*link);
    }
    return list;
}

auto soak_system::start_daemon(const std::string& name, std::vector<std::string> arguments)
    -> result<void>
{
    arguments.push_back("--name=" + name);
    arguments.push_back("--cluster-key-file=" + path("key"));
    arguments.push_back("--operator-token-file=" + token_file());
    auto child = child_process::start(
        {paths_.bin_folder_ + "/sycamorewinchd", std::move(arguments), path(name + ".log")});
    if (!child) {
        return tl::unexpected(child.error());
    }
    processes_[name] = std::move(*child);
    return {};
}

auto soak_system::start_controls() -> result<void>
{
    for (unsigned self = 0; self < size_.controls_; ++self) {
        std::string peers;
        for (unsigned other = 0; other < size_.controls_; ++other) {
            auto at = address(control_peer_ports + other);
            if (other != self) {
                const auto link = add_link(at);
                if (!link) {
                    return tl::unexpected(link.error());
                }
                at = *link;
            }
            peers += fmt::format("{}control-{}={}", other > 0 ? "," : "", other, to_text(at));
        }
        const auto name = fmt::format("control-{}", self);
        auto started = start_daemon(
            name, {"--role=control", "--zone=" + zone_of(self), "--control-peers=" + peers,
                   "--listen-peers=" + to_text(address(control_peer_ports + self)),
                   "--listen-admin=" + to_text(address(control_admin_ports + self)),
                   "--data-dir=" + path("data-" + name)});
        if (!started) {
            return started;
        }
    }
    return {};
}

auto soak_system::start_relays() -> result<void>
{
    std::vector<peer_address> controls;
    for (unsigned index = 0; index < size_.controls_; ++index) {
        controls.push_back(address(control_peer_ports + index));
    }
    for (unsigned index = 0; index < size_.relays_; ++index) {
        const auto upstreams = add_links(controls);
        if (!upstreams) {
            return tl::unexpected(upstreams.error());
        }
        auto started =
            start_daemon(fmt::format("relay-{}", index),
                         {"--role=relay", "--zone=" + zone_of(index), "--upstreams=" + *upstreams,
                          "--listen-peers=" + to_text(address(relay_peer_ports + index)),
                          "--listen-admin=" + to_text(address(relay_admin_ports + index))});
        if (!started) {
            return started;
        }
    }
    return {};
}

auto soak_system::start_nodes() -> result<void>
{
    std::vector<peer_address> relays;
    for (unsigned index = 0; index < size_.relays_; ++index) {
        relays.push_back(address(relay_peer_ports + index));
    }
    for (unsigned index = 0; index < size_.nodes_; ++index) {
        const auto upstreams = add_links(relays);
        const auto caller = add_link(address(node_caller_ports + index));
        if (!upstreams || !caller) {
            return tl::unexpected(upstreams ? caller.error() : upstreams.error());
        }
        callers_.push_back(*caller);
        caller_links_.push_back(links() - 1);
        response_losses_.push_back(0);
        node_admins_.push_back(to_text(address(node_admin_ports + index)));
        auto started =
            start_daemon(fmt::format("node-{}", index),
                         {"--role=node", "--zone=" + zone_of(index), "--upstreams=" + *upstreams,
                          "--listen-peers=" + to_text(address(node_peer_ports + index)),
                          "--listen-callers=" + to_text(address(node_caller_ports + index)),
                          "--listen-admin=" + node_admins_.back(), "--proof-period-ms=500",
                          "--proof-timeout-ms=2000"});
        if (!started) {
            return started;
        }
        started = started.and_then([&] { return start_target(index); });
        if (!started) {
            return started;
        }
    }
    return {};
}

auto soak_system::start_target(unsigned index) -> result<void>
{
    const std::string service = service_names.at(service_of(index));
    const auto name = fmt::format("target-{}", index);
    std::vector<std::string> arguments{"target",
                                       "--service=" + service,
                                       "--target=" + name,
                                       "--listen=" + to_text(address(target_ports + index)),
                                       "--node-admin=" + node_admins_.at(index),
                                       "--journal=" + path("ran-" + name)};
    std::ranges::move(speed_arguments(index), std::back_inserter(arguments));
    std::ranges::move(statement_arguments(index), std::back_inserter(arguments));
    auto target = child_process::start(
        {paths_.bin_folder_ + "/sycamorewinch-standin", std::move(arguments), path(name + ".log")});
    if (!target) {
        return tl::unexpected(target.error());
    }
    processes_[name] = std::move(*target);
    return {};
}

auto soak_system::control_admins() const -> std::string
{
    std::string list;
    for (unsigned index = 0; index < size_.controls_; ++index) {
        list += (index > 0 ? "," : "") + to_text(address(control_admin_ports + index));
    }
    return list;
}

auto soak_system::journals() const -> std::vector<std::string>
{
    std::vector<std::string> files;
    for (unsigned index = 0; index < size_.nodes_; ++index) {
        files.push_back(path(fmt::format("ran-target-{}", index)));
    }
    return files;
}

void soak_system::count_response_loss(const soak_fault& fault)
{
    for (std::size_t node = 0; node < response_losses_.size(); ++node) {
        const auto name = fmt::format("node-{}", node);
        const bool is_link_fault =
            fault.action_ == soak_action::link && fault.link_ == caller_links_[node];
        // A second SIGTERM ends a process at once.
        const bool is_process_end =
            fault.process_ == name &&
            (fault.action_ == soak_action::kill ||
             (fault.action_ == soak_action::terminate && processes_.at(name)->is_terminating()));
        response_losses_[node] += is_link_fault || is_process_end ? 1 : 0;
    }
}

auto soak_system::response_losses(std::size_t node) const -> std::optional<unsigned>
{
    if (links_.at(caller_links_.at(node))->fault() != link_fault::none) {
        return std::nullopt;
    }
    return response_losses_.at(node);
}

void soak_system::inject_fault(const soak_fault& fault)
{
    count_response_loss(fault);
    if (fault.action_ == soak_action::link) {
        links_.at(fault.link_)->set_fault(fault.link_fault_);
        return;
    }
    const auto found = processes_.find(fault.process_);
    if (found == processes_.end()) {
        return;
    }
    auto& process = *found->second;
    switch (fault.action_) {
    case soak_action::pause:
        process.pause();
        return;
    case soak_action::terminate:
        process.terminate();
        return;
    case soak_action::wipe:
        process.kill();
        std::filesystem::remove_all(path("data-" + fault.process_));
        return;
    default:
        process.kill();
    }
}

void soak_system::clear_fault(const soak_fault& fault)
{
    if (fault.action_ == soak_action::link) {
        links_.at(fault.link_)->set_fault(link_fault::none);
    }
    else if (processes_.contains(fault.process_)) {
        restart(fault.process_);
    }
}

void soak_system::restart(const std::string& process)
{
    auto& child = *processes_.at(process);
    child.resume();
    if (const auto started = child.restart(); !started) {
        log_event(log_level::error, "restart_failed",
                  {{"process", process}, {"reason", started.error().message_}});
    }
}

void soak_system::clear_faults()
{
    for (const auto& link : links_) {
        link->set_fault(link_fault::none);
    }
    for (const auto& [name, process] : processes_) {
        restart(name);
    }
}

} // namespace sycamorewinch
