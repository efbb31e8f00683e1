#include "lab.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

constexpr std::uint16_t first_internal_port = 7620;
constexpr std::uint16_t inbound_port = 8300;
constexpr std::uint16_t server_port = 8301;
constexpr std::uint16_t ready_port = 8302;
constexpr std::uint16_t outbound_port = 8304;
constexpr std::uint16_t control_port = 8306;
constexpr int listen_backlog = 512;

auto random_number(unsigned low, unsigned high) -> unsigned
{
    static std::random_device device;
    static std::mutex mutex;
    const std::lock_guard guard(mutex);
    return std::uniform_int_distribution<unsigned>(low, high)(device);
}

auto to_socket_address(const address& where) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port_);
    inet_pton(AF_INET, where.ip_.c_str(), &result.sin_addr);
    return result;
}

auto bind_and_listen(const address& where) -> int
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto bound = to_socket_address(where);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
        ::listen(socket, listen_backlog) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

auto remaining_ms(clock::time_point end) -> int
{
    const auto left = std::chrono::duration_cast<milliseconds>(end - clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

auto trim(const std::string& text) -> std::string
{
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

/** Splits the head of a message into its first line and its fields. */
auto parse_head(const std::string& head, std::map<std::string, std::string>& fields) -> std::string
{
    std::istringstream lines(head);
    std::string first;
    std::getline(lines, first);
    for (std::string line; std::getline(lines, line);) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            fields[lower(trim(line.substr(0, colon)))] = trim(line.substr(colon + 1));
        }
    }
    return trim(first);
}

auto read_text_file(const std::string& path) -> std::string
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replace_all(std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/** Returns the value of \p key in the table \p section of the deploy file. */
auto deploy_value(const std::string& text, const std::string& section, const std::string& key)
    -> std::string
{
    const auto start = text.find("[" + section + "]");
    const auto at = text.find(key + " = \"", start);
    if (start == std::string::npos || at == std::string::npos) {
        give_up("the deploy file has no " + section + "." + key);
    }
    const auto begin = at + key.size() + 4;
    return text.substr(begin, text.find('"', begin) - begin);
}

auto write_all(int socket, const std::string& bytes) -> bool
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

/** Removes a body in chunks, without trailers, from the start of \p input; returns whether it is
 * complete and well-formed. */
auto skip_chunks(std::string& input, const std::function<bool()>& read_more) -> bool
{
    constexpr int hexadecimal = 16;
    for (;;) {
        auto line_end = input.find("\r\n");
        while (line_end == std::string::npos) {
            if (!read_more()) {
                return false;
            }
            line_end = input.find("\r\n");
        }
        const auto size = std::strtoul(input.c_str(), nullptr, hexadecimal);
        const auto needed = line_end + 2 + size + 2;
        while (input.size() < needed) {
            if (!read_more()) {
                return false;
            }
        }
        if (input.compare(needed - 2, 2, "\r\n") != 0) {
            return false;
        }
        input.erase(0, needed);
        if (size == 0) {
            return true;
        }
    }
}

} // namespace

auto has_trouble() -> bool
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void give_up(const std::string& reason)
{
    std::cerr << "the case could not run: " << reason << '\n';
    std::exit(could_not_run);
}

auto make_id() -> std::string
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%08x%08x", random_number(0, UINT32_MAX),
                  random_number(0, UINT32_MAX));
    return text.data();
}

record::record(const std::string& folder) : file_(folder + "/record.txt")
{
    if (!file_) {
        give_up("cannot write record.txt");
    }
}

auto record::seconds(clock::time_point time) const -> double
{
    return std::chrono::duration<double>(time - start_).count();
}

void record::line(const std::string& text)
{
    std::array<char, 16> time{};
    std::snprintf(time.data(), time.size(), "%9.3f  ", seconds());
    const std::lock_guard guard(mutex_);
    file_ << time.data() << text << std::endl;
}

void record::say(const std::string& text)
{
    std::cout << text << std::endl;
    line(text);
}

auto answer::header(const std::string& name) const -> std::string
{
    const auto found = headers_.find(name);
    return found == headers_.end() ? std::string() : found->second;
}

auto to_text(const address& where) -> std::string
{
    return where.ip_ + ":" + std::to_string(where.port_);
}

auto parse_address(const std::string& text) -> address
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

void caller::close()
{
    if (socket_ >= 0) {
        ::close(socket_);
        socket_ = -1;
    }
}

auto caller::connect(clock::time_point end) -> bool
{
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto target = to_socket_address(to_);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        pollfd waiting{socket_, POLLOUT, 0};
        int problem = 0;
        socklen_t length = sizeof(problem);
        const bool is_open = errno == EINPROGRESS && ::poll(&waiting, 1, remaining_ms(end)) == 1 &&
                             ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &problem, &length) == 0 &&
                             problem == 0;
        if (!is_open) {
            close();
            return false;
        }
    }
    return true;
}

auto caller::call(const std::string& method, const std::string& path, const std::string& body,
                  const std::vector<std::string>& fields, milliseconds timeout) -> answer
{
    const auto end = clock::now() + timeout;
    answer result;
    if (socket_ < 0 && !connect(end)) {
        return result;
    }
    std::string request = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& field : fields) {
        request += field + "\r\n";
    }
    if (!body.empty() || method != "GET") {
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    request += "\r\n" + body;
    std::size_t sent = 0;
    std::string received;
    std::size_t needed = std::string::npos;
    while (needed == std::string::npos || received.size() < needed) {
        // Once an answer has begun, the rest of the request is of no use.
        const bool sends = sent < request.size() && received.empty();
        pollfd waiting{socket_, static_cast<short>(POLLIN | (sends ? POLLOUT : 0)), 0};
        if (::poll(&waiting, 1, remaining_ms(end)) != 1) {
            close();
            return result;
        }
        if ((waiting.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            std::array<char, 65'536> buffer{};
            const auto count = ::recv(socket_, buffer.data(), buffer.size(), 0);
            if (count == 0 || (count < 0 && errno != EAGAIN)) {
                close();
                result.closed_ = true;
                return result;
            }
            received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        else if ((waiting.revents & POLLOUT) != 0) {
            const auto count =
                ::send(socket_, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        }
        const auto head_end = received.find("\r\n\r\n");
        if (needed == std::string::npos && head_end != std::string::npos) {
            const auto first = parse_head(received.substr(0, head_end), result.headers_);
            result.status_ = first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
            const auto length = result.header("content-length");
            needed = head_end + 4 + (length.empty() ? 0 : std::stoul(length));
            result.body_ = "";
        }
    }
    const auto head_end = received.find("\r\n\r\n");
    result.body_ = received.substr(head_end + 4, needed - head_end - 4);
    if (lower(result.header("connection")) == "close" || sent < request.size()) {
        close();
    }
    return result;
}

void process::start(const std::vector<std::string>& command, const std::string& settings,
                    const std::string& log)
{
    std::vector<char*> arguments;
    for (const auto& word : command) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const auto parent = ::getpid();
    id_ = ::fork();
    if (id_ != 0) {
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script, however that ends
    if (::getppid() != parent) {
        ::_exit(1);
    }
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::setenv("SYCAMOREWINCH_BOOT", settings.c_str(), 1);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

void process::signal(int number) const
{
    if (id_ > 0) {
        ::kill(id_, number);
    }
}

void process::wait()
{
    if (id_ > 0) {
        ::waitpid(id_, nullptr, 0);
        id_ = -1;
    }
}

auto process::has_ended() -> bool
{
    if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_) {
        id_ = -1;
    }
    return id_ < 0;
}

auto process::resident_kib() const -> std::uint64_t
{
    std::ifstream status("/proc/" + std::to_string(id_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoull(line.substr(6));
        }
    }
    return 0;
}

deployment::deployment(unsigned tolerate) : tolerate_(tolerate)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char* temporary = std::getenv("TMPDIR");
    auto folder = std::string(temporary != nullptr ? temporary : "/tmp") + "/review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) {
        give_up("cannot create a temporary folder");
    }
    folder_ = folder;
    for (int tries = 0; network_.empty(); ++tries) {
        const auto candidate = "127." + std::to_string(random_number(16, 250)) + "." +
                               std::to_string(random_number(1, 250)) + ".";
        const int probe = bind_and_listen({candidate + "1", control_port});
        if (probe >= 0) {
            ::close(probe);
            network_ = candidate;
        }
        else if (tries > 100) {
            give_up("no free loopback network");
        }
    }
    const auto deploy = read_text_file("deploy/system.toml");
    for (const std::string role : {"control", "node"}) {
        std::istringstream words(deploy_value(deploy, "roles." + role, "run"));
        for (std::string word; words >> word;) {
            commands_[role].push_back(word);
        }
        templates_[role] = read_text_file(deploy_value(deploy, "roles." + role, "template"));
    }
    if (::access(commands_["node"].front().c_str(), X_OK) != 0) {
        give_up("the build of the deploy file is missing");
    }
}

deployment::~deployment()
{
    for (auto& [machine, child] : processes_) {
        child.signal(SIGCONT);
        child.signal(SIGKILL);
        child.wait();
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void deployment::write_settings(unsigned machine, const std::string& role,
                                std::map<std::string, std::string> values)
{
    roles_[machine] = role;
    const auto listen = ip(machine) + ":";
    values["Node"] = role + "-" + std::to_string(machine);
    values["Zone"] = "zone-a";
    values["Ip"] = ip(machine);
    values["InternalPorts.0"] = std::to_string(first_internal_port);
    values["InternalPorts.1"] = std::to_string(first_internal_port + 1);
    values["Listen.Control"] = listen + std::to_string(control_port);
    values["Listen.Outbound"] = listen + std::to_string(outbound_port);
    values["Listen.Inbound"] = listen + std::to_string(inbound_port);
    values["Listen.Ready"] = listen + std::to_string(ready_port);
    values["AppAddr"] = listen + std::to_string(server_port);
    values["Contracts"] = "base,drain,config,cost,retry,recover";
    values["DataDir"] = folder_ + "/data-" + std::to_string(machine);
    values["Tolerate.Machines"] = std::to_string(tolerate_);
    values["Bounds.GraceS"] = "6";
    values["HeartbeatIntervalMs"] = "1500";
    auto text = templates_[role];
    for (const auto& [name, value] : values) {
        replace_all(text, "{{" + name + "}}", value);
    }
    if (text.find("{{") != std::string::npos) {
        give_up("the template of " + role + " names a field that the script does not know");
    }
    std::ofstream(folder_ + "/settings-" + std::to_string(machine)) << text;
}

void deployment::configure_control(unsigned machine, const std::vector<unsigned>& seeds,
                                   bool bootstrap)
{
    std::string list;
    for (const auto seed : seeds) {
        list += (list.empty() ? "" : ",") + to_text(control_address(seed));
    }
    write_settings(machine, "control",
                   {{"Seeds", list}, {"Bootstrap", bootstrap ? "true" : "false"}, {"Service", ""}});
}

void deployment::configure_node(unsigned machine, const std::vector<unsigned>& seeds,
                                const std::string& service)
{
    std::string list;
    for (const auto seed : seeds) {
        list += (list.empty() ? "" : ",") + to_text(control_address(seed));
    }
    write_settings(machine, "node", {{"Seeds", list}, {"Service", service}});
}

void deployment::start(unsigned machine)
{
    const auto settings = folder_ + "/settings-" + std::to_string(machine);
    auto command = commands_.at(roles_.at(machine));
    command.back() = settings; // in place of the path that only the platform can write to
    processes_[machine].start(command, settings, folder_ + "/log-" + std::to_string(machine));
}

void deployment::signal(unsigned machine, int number)
{
    processes_[machine].signal(number);
}

void deployment::kill(unsigned machine)
{
    signal(machine, SIGKILL);
    processes_[machine].wait();
}

void deployment::terminate(unsigned machine)
{
    constexpr milliseconds grace(6'000);
    signal(machine, SIGTERM);
    const auto end = clock::now() + grace;
    while (!processes_[machine].has_ended() && clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    kill(machine);
}

void deployment::lose_disk(unsigned machine)
{
    std::filesystem::remove_all(folder_ + "/data-" + std::to_string(machine));
}

auto deployment::ip(unsigned machine) const -> std::string
{
    return network_ + std::to_string(machine);
}

auto deployment::control_address(unsigned machine) const -> address
{
    return {ip(machine), control_port};
}

auto deployment::outbound_address(unsigned machine) const -> address
{
    return {ip(machine), outbound_port};
}

auto deployment::ready_address(unsigned machine) const -> address
{
    return {ip(machine), ready_port};
}

auto deployment::server_address(unsigned machine) const -> address
{
    return {ip(machine), server_port};
}

auto deployment::is_ready(unsigned machine) const -> bool
{
    caller platform(ready_address(machine));
    return platform.call("GET", "/-/ready", {}, {"Host: node"}, milliseconds(500)).status_ == 200;
}

auto version_text(std::uint32_t version) -> std::string
{
    std::array<char, 9> text{};
    std::snprintf(text.data(), text.size(), "%08x", version);
    return text.data();
}

auto make_config(std::uint32_t version, const std::vector<route>& routes,
                 const std::vector<std::string>& services) -> std::string
{
    std::ostringstream out;
    out << R"({"Version":")" << version_text(version) << R"(","Resources":[)";
    for (const auto& route : routes) {
        out << R"({"ResourceType":"Routes","Metadata":{"Name":")" << route.name_
            << R"("},"Spec":{"Host":")" << route.host_ << R"(","PathPrefix":")" << route.prefix_
            << R"(","Kind":")" << route.kind_ << R"(","TimeoutMs":)" << route.timeout_ms_
            << R"(,"TargetLatencyMs":)" << route.target_latency_ms_
            << R"(,"Priority":1,"Service":")" << route.service_ << R"(","Attempts":2}},)";
    }
    for (const auto& service : services) {
        out << R"({"ResourceType":"Services","Metadata":{"Name":")" << service
            << R"("},"Spec":{"HealthPath":"/healthz","MaxConnections":120,"Protocol":"h1",)"
            << R"("Tls":false}},)";
    }
    out << R"({"ResourceType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,)"
        << R"("MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";
    return out.str();
}

auto operator_client::order(unsigned machine, const std::string& method, const std::string& body,
                            const std::vector<std::string>& fields) -> answer
{
    constexpr int max_redirects = 2;
    auto to = system_.control_address(machine);
    for (int redirects = 0;; ++redirects) {
        caller connection(to);
        auto result = connection.call(method, "/-/config", body, fields, milliseconds(1'000));
        const auto location = result.header("location");
        constexpr std::string_view scheme = "http://";
        if (result.status_ != 307 || redirects == max_redirects || location.size() < 8) {
            return result;
        }
        const auto authority = location.substr(scheme.size());
        to = parse_address(authority.substr(0, authority.find('/')));
    }
}

auto operator_client::put(const std::vector<unsigned>& machines, std::uint32_t version,
                          std::uint32_t base, const std::string& document, milliseconds limit)
    -> int
{
    const auto end = clock::now() + limit;
    const std::vector<std::string> fields{"Host: control", "Content-Type: application/json",
                                          "If-Match: " + version_text(base)};
    for (std::size_t turn = 0; clock::now() < end; ++turn) {
        const auto machine = machines[turn % machines.size()];
        const auto result = order(machine, "PUT", document, fields);
        if (turn < 5 || result.status_ == 200 || turn % 20 == 0) {
            log_.line("operator: PUT version " + version_text(version) + " on " +
                      version_text(base) + " at machine " + std::to_string(machine) + " -> " +
                      std::to_string(result.status_));
        }
        for (const auto final_status : {200, 400, 409, 412, 413, 422}) {
            if (result.status_ == final_status) {
                return result.status_;
            }
        }
        std::this_thread::sleep_for(milliseconds(150));
    }
    return 0;
}

auto operator_client::get(const std::vector<unsigned>& machines) -> std::string
{
    for (const auto machine : machines) {
        const auto result = order(machine, "GET", {}, {"Host: control"});
        log_.line("operator: GET at machine " + std::to_string(machine) + " -> " +
                  std::to_string(result.status_));
        if (result.status_ == 200) {
            return result.body_;
        }
    }
    return {};
}

auto operator_client::leader(const std::vector<unsigned>& machines) -> unsigned
{
    for (const auto machine : machines) {
        caller connection(system_.control_address(machine));
        const auto result =
            connection.call("GET", "/-/config", {}, {"Host: control"}, milliseconds(1'000));
        const auto location = result.header("location");
        for (const auto other : machines) {
            if (location.find("http://" + system_.ip(other) + ":") == 0) {
                return other;
            }
        }
    }
    return 0;
}

server::server(deployment& system, unsigned machine, server_options options, record& log)
    : system_(system), machine_(machine), options_(std::move(options)), log_(log),
      born_ms_(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count()))
{
    listener_ = bind_and_listen(system_.server_address(machine_));
    if (listener_ < 0) {
        give_up("a port of the server is in use");
    }
    threads_.emplace_back([this] { accept_all(); });
    threads_.emplace_back([this] { beat(); });
}

server::~server()
{
    exit();
    for (auto& thread : threads_) {
        thread.join();
    }
}

void server::exit()
{
    if (!open_.exchange(false)) {
        return;
    }
    beats_ = false;
    ::shutdown(listener_, SHUT_RDWR);
    const std::lock_guard guard(mutex_);
    for (const auto socket : sockets_) {
        ::shutdown(socket, SHUT_RDWR);
    }
    slot_free_.notify_all();
}

void server::accept_all()
{
    while (open_) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard guard(mutex_);
        sockets_.insert(socket);
        std::thread([this, socket] {
            serve(socket);
            {
                const std::lock_guard closing(mutex_);
                sockets_.erase(socket);
            }
            ::close(socket);
        }).detach();
    }
    ::close(listener_);
}

void server::serve(int socket)
{
    std::string input;
    std::array<char, 65'536> buffer{};
    const auto read_more = [&] {
        const auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
        input.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        return count > 0;
    };
    while (open_) {
        auto head_end = input.find("\r\n\r\n");
        while (head_end == std::string::npos) {
            if (!read_more()) {
                return;
            }
            head_end = input.find("\r\n\r\n");
        }
        std::map<std::string, std::string> fields;
        parse_head(input.substr(0, head_end), fields);
        const auto length =
            fields.contains("content-length") ? std::stoul(fields["content-length"]) : 0;
        const auto needed = head_end + 4 + length;
        const bool is_rejected = rejects_next();
        if (is_rejected) {
            ++rejected_;
            if (!write_all(socket, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " +
                                       fields["x-request-id"] +
                                       "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
        }
        while (input.size() < needed) {
            if (!read_more()) {
                return;
            }
        }
        input.erase(0, needed);
        if (lower(fields["transfer-encoding"]) == "chunked" && !skip_chunks(input, read_more)) {
            return;
        }
        if (!is_rejected && !answer_request(socket, fields)) {
            return;
        }
    }
}

auto server::rejects_next() const -> bool
{
    return random_number(0, 999) < rejected_share_ * 1'000;
}

auto server::answer_request(int socket, const std::map<std::string, std::string>& fields) -> bool
{
    const auto field = [&fields](const std::string& name) {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    };
    const auto id = field("x-request-id");
    const auto head = [&id](const std::string& status) {
        return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n";
    };
    const auto expected = field("x-expect-instance");
    if (!expected.empty() && expected != options_.id_) {
        return write_all(socket, head("421 Misdirected Request") + "Content-Length: 0\r\n\r\n");
    }
    const auto deadline_ms = field("x-deadline-ms");
    const auto end =
        clock::now() + milliseconds(deadline_ms.empty() ? 10'000 : std::stol(deadline_ms));
    std::size_t index = 0;
    {
        std::unique_lock lock(mutex_);
        const bool is_full = running_ >= options_.slots_ && waiting_ >= options_.queue_;
        ++waiting_;
        const bool has_slot = !is_full && slot_free_.wait_until(lock, end, [this] {
            return running_ < options_.slots_ || !open_;
        });
        --waiting_;
        if (!has_slot) {
            ++rejected_;
            lock.unlock();
            return write_all(socket, head("503 Service Unavailable") +
                                         "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        ++running_;
        index = runs_.size();
        runs_.push_back({clock::now(), id, false});
    }
    std::this_thread::sleep_for(options_.work_);
    const std::string body(200, 'a');
    const bool is_written =
        open_ && write_all(socket, head("200 OK") + "X-Response-Signature: " + options_.id_ + "." +
                                       id + "\r\nContent-Length: " + std::to_string(body.size()) +
                                       "\r\n\r\n" + body);
    const std::lock_guard guard(mutex_);
    --running_;
    runs_[index].finished_ = is_written;
    slot_free_.notify_one();
    return is_written;
}

auto server::next_heartbeat(const std::string& state) -> std::string
{
    std::ostringstream out;
    out << R"({"Service":")" << options_.service_ << R"(","Address":")"
        << to_text(system_.server_address(machine_)) << R"(","Zone":"zone-a","Version":"v1",)"
        << R"("Slots":)" << options_.slots_ << R"(,"State":")" << state
        << R"(","ColdRemainingMs":0,"Sequence":)" << ++sequence_ << R"(,"born":)" << born_ms_
        << "}";
    return out.str();
}

auto server::send_heartbeat(const std::string& body) -> int
{
    caller node(system_.control_address(machine_));
    return node
        .call("PUT", "/-/instances/" + options_.id_, body,
              {"Host: node", "Content-Type: application/json"}, milliseconds(1'000))
        .status_;
}

auto server::send_delete() -> int
{
    caller node(system_.control_address(machine_));
    return node
        .call("DELETE", "/-/instances/" + options_.id_, {}, {"Host: node"}, milliseconds(1'000))
        .status_;
}

void server::beat()
{
    while (open_) {
        if (beats_) {
            send_heartbeat(next_heartbeat("ready"));
        }
        const auto next = clock::now() + options_.heartbeat_;
        while (open_ && clock::now() < next) {
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
}

auto server::runs() -> std::vector<run>
{
    const std::lock_guard guard(mutex_);
    return runs_;
}

auto server::running() -> unsigned
{
    const std::lock_guard guard(mutex_);
    return running_;
}

} // namespace lab
