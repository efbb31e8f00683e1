#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

namespace fs = std::filesystem;

constexpr unsigned ports_of_a_machine = 6; ///< App, outbound, ready, control, peers, admin.
constexpr unsigned peers_offset = 4;
constexpr unsigned admin_offset = 5;
constexpr auto zones = {"zone-a", "zone-b", "zone-c"};
constexpr auto pause = milliseconds(50);

auto zone_of(std::size_t index) -> std::string
{
    return *(zones.begin() + index % zones.size());
}

auto read_text(const std::string& path) -> std::string
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/** Returns whether every port from \p port on is free at every one of \p hosts. */
auto are_free(const std::vector<std::string>& hosts, std::uint16_t port) -> bool
{
    for (const auto& host : hosts) {
        for (unsigned offset = 0; offset < ports_of_a_machine; ++offset) {
            const auto probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int yes = 1;
            ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
            sockaddr_in name{};
            name.sin_family = AF_INET;
            name.sin_port = htons(static_cast<std::uint16_t>(port + offset));
            ::inet_pton(AF_INET, host.c_str(), &name.sin_addr);
            const auto bound = ::bind(probe, reinterpret_cast<sockaddr*>(&name), sizeof(name));
            ::close(probe);
            if (bound != 0) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

deployment::deployment(record& record, unsigned cores, const std::vector<std::string>& services)
    : record_(record)
{
    std::mt19937 random(std::random_device{}());
    auto pattern = (fs::temp_directory_path() / "review-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    const auto network = "127." + std::to_string(10 + random() % 200) + "." +
                         std::to_string(1 + random() % 250) + ".";
    std::vector<std::string> hosts;
    for (unsigned index = 0; index < cores; ++index) {
        hosts.push_back(network + std::to_string(101 + index));
        cores_.push_back(
            {"core-" + std::to_string(index), "control", hosts.back(), zone_of(index), ""});
    }
    for (std::size_t index = 0; index < services.size(); ++index) {
        hosts.push_back(network + std::to_string(1 + index));
        nodes_.push_back({"side-" + std::to_string(index), "node", hosts.back(), zone_of(index),
                          services[index]});
    }
    constexpr unsigned first_port = 20'000;
    constexpr unsigned port_range = 10'000;
    do {
        port_ = static_cast<std::uint16_t>(first_port + random() % port_range);
    } while (!are_free(hosts, port_));
}

deployment::~deployment()
{
    for (auto* machines : {&nodes_, &cores_}) {
        for (auto& each : *machines) {
            if (each.process_ > 0) {
                ::kill(each.process_, SIGCONT);
                ::kill(each.process_, SIGKILL);
                ::waitpid(each.process_, nullptr, 0);
            }
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        fs::remove_all(folder_, ignored);
    }
}

auto deployment::settings_of(const machine& which, bool is_first_start) const -> std::string
{
    std::string seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(cores_.size(), 3); ++index) {
        seeds += (index > 0 ? "," : "") + control(cores_[index]).text();
    }
    const std::map<std::string, std::string> values{
        {"Node", which.name_},
        {"Zone", which.zone_},
        {"Ip", which.ip_},
        {"InternalPorts.0", std::to_string(port_ + peers_offset)},
        {"InternalPorts.1", std::to_string(port_ + admin_offset)},
        {"Listen.Control", control(which).text()},
        {"Listen.Outbound", outbound(which).text()},
        {"Listen.Ready", ready(which).text()},
        {"Contracts", "base,drain,config,cost,retry,recover"},
        {"DataDir", folder_ + "/" + which.name_ + ".data"},
        {"Seeds", seeds},
        {"Bootstrap", is_first_start ? "true" : "false"},
        {"Tolerate.Machines", std::to_string((cores_.size() - 1) / 2)},
        {"Bounds.GraceS", "6"},
        {"AppAddr", app(which).text()},
        {"Service", which.service_},
        {"HeartbeatIntervalMs", "1500"},
    };
    auto text = read_text("deploy/" + which.role_ + ".conf");
    for (const auto& [name, value] : values) {
        const auto placeholder = "{{" + name + "}}";
        for (auto found = text.find(placeholder); found != std::string::npos;
             found = text.find(placeholder)) {
            text.replace(found, placeholder.size(), value);
        }
    }
    return text;
}

void deployment::start(machine& which, bool is_first_start)
{
    const auto settings = folder_ + "/" + which.name_ + ".yaml";
    const auto log = folder_ + "/" + which.name_ + ".log";
    std::ofstream(settings) << settings_of(which, is_first_start);
    record_.line("starts " + which.name_ + " at " + which.ip_);
    which.process_ = ::fork();
    if (which.process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl("target/bin/sycamorewinchd", "target/bin/sycamorewinchd", "--settings-file",
                settings.c_str(), nullptr);
        ::_exit(127);
    }
}

auto deployment::start() -> bool
{
    if (!fs::exists("target/bin/sycamorewinchd")) {
        record_.note("target/bin/sycamorewinchd is missing; run the deploy file's build line");
        return false;
    }
    for (auto* machines : {&cores_, &nodes_}) {
        for (auto& each : *machines) {
            start(each, true);
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (auto* machines : {&cores_, &nodes_}) {
        for (auto& each : *machines) {
            if (!is_running(each)) {
                record_.note(each.name_ +
                             " has ended: " + read_text(folder_ + "/" + each.name_ + ".log"));
                return false;
            }
        }
    }
    return true;
}

void deployment::signal(const machine& which, int number)
{
    record_.note("sends " + which.name_ + " the signal " + std::to_string(number));
    if (which.process_ > 0) {
        ::kill(which.process_, number);
    }
}

auto deployment::is_running(machine& which) -> bool
{
    if (which.process_ <= 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(which.process_, &status, WNOHANG) == which.process_) {
        record_.note(which.name_ + " ended with " +
                     (WIFEXITED(status) ? "status " + std::to_string(WEXITSTATUS(status))
                                        : "signal " + std::to_string(WTERMSIG(status))));
        which.process_ = -1;
        return false;
    }
    return true;
}

auto deployment::wait_for_end(machine& which, milliseconds patience) -> bool
{
    const auto deadline = clock::now() + patience;
    while (is_running(which)) {
        if (clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

auto deployment::wait_until_ready(const machine& which, milliseconds patience) -> bool
{
    const auto deadline = clock::now() + patience;
    const request question{"GET", "/-/ready", {{"Host", ready(which).text()}}, ""};
    while (clock::now() < deadline) {
        if (exchange(ready(which), question, milliseconds(500)).status_ == 200) {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

auto deployment::operator_call(const request& what, milliseconds patience) -> response
{
    constexpr auto call_patience = std::chrono::seconds(1);
    const auto deadline = clock::now() + patience;
    response last;
    while (clock::now() < deadline) {
        auto to = control(cores_[next_core_]);
        next_core_ = (next_core_ + 1) % cores_.size();
        for (int redirects = 0; redirects <= 2; ++redirects) {
            last = exchange(to, what, call_patience);
            const auto location = field(last.fields_, "Location");
            if (last.status_ != 307 || !location.starts_with("http://")) {
                break;
            }
            const auto colon = location.find(':', 7);
            to.host_ = location.substr(7, colon - 7);
            to.port_ = static_cast<std::uint16_t>(std::atoi(location.c_str() + colon + 1));
        }
        const bool is_final = last.is_complete() && last.status_ < 500 && last.status_ != 307 &&
                              last.status_ != 408 && last.status_ != 429;
        if (is_final) {
            return last;
        }
        std::this_thread::sleep_for(pause);
    }
    last.status_ = 0;
    return last;
}

auto deployment::put_config(const std::string& base, const std::string& body, milliseconds patience)
    -> int
{
    const request order{
        "PUT",
        "/-/config",
        {{"Host", "control"}, {"If-Match", base}, {"Content-Type", "application/json"}},
        body};
    record_.note("operator sends on base " + base + ": " + body);
    const auto answer = operator_call(order, patience);
    record_.note("operator gets " + std::to_string(answer.status_) + " " + answer.body_);
    return answer.status_;
}

auto deployment::log_of(const machine& which) const -> std::string
{
    return read_text(folder_ + "/" + which.name_ + ".log");
}

auto deployment::find_leader() -> machine*
{
    const request question{"GET", "/-/config", {{"Host", "control"}}, ""};
    for (const auto& asked : cores_) {
        const auto answer = exchange(control(asked), question, milliseconds(1'000));
        const auto location = field(answer.fields_, "Location");
        for (auto& each : cores_) {
            const bool is_named = answer.status_ == 307
                                      ? location.find(each.ip_ + ":") != std::string::npos
                                      : answer.status_ == 200 && each.ip_ == asked.ip_;
            if (is_named) {
                return &each;
            }
        }
    }
    return nullptr;
}

auto deployment::get_config(milliseconds patience) -> std::string
{
    const request question{"GET", "/-/config", {{"Host", "control"}}, ""};
    const auto answer = operator_call(question, patience);
    return answer.status_ == 200 ? answer.body_ : std::string();
}

auto make_config(const std::string& version, const std::vector<route>& routes,
                 const std::vector<std::string>& services) -> std::string
{
    std::string text = "{\"Version\":\"" + version + "\",\"Resources\":[";
    for (const auto& each : routes) {
        text += "{\"ResourceType\":\"Routes\",\"Metadata\":{\"Name\":\"" + each.name_ +
                "\"},\"Spec\":{\"Host\":\"" + each.host_ + "\",\"PathPrefix\":\"" + each.prefix_ +
                "\",\"Kind\":\"" + each.kind_ +
                "\",\"TimeoutMs\":" + std::to_string(each.timeout_ms_) +
                ",\"TargetLatencyMs\":" + std::to_string(each.target_latency_ms_) +
                ",\"Priority\":1,\"Service\":\"" + each.service_ +
                "\",\"Attempts\":" + std::to_string(each.attempts_) + "}},";
    }
    for (const auto& name : services) {
        text += "{\"ResourceType\":\"Services\",\"Metadata\":{\"Name\":\"" + name +
                "\"},\"Spec\":{\"HealthPath\":\"/healthz\",\"MaxConnections\":120,"
                "\"Protocol\":\"h1\",\"Tls\":false}},";
    }
    return text + "{\"ResourceType\":\"Limits\",\"Metadata\":{},\"Spec\":{\"MaxHeaderBytes\":16384,"
                  "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}]}";
}

auto has_trouble() -> bool
{
    const auto* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

auto make_id() -> std::string
{
    static std::atomic<unsigned> count{0};
    static const auto start = static_cast<unsigned>(std::random_device{}());
    std::ostringstream text;
    text << std::hex << start << "-" << ++count;
    return text.str();
}

} // namespace review
