/** \file
 * Callers use kept connections of one machine. Now and then a further client sends an order, whose
 * empty body is sent in chunks, and leaves before it has sent the last two bytes. The other callers
 * must not notice.
 */
#include <cerrno>
#include <csignal>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

using namespace lab;

namespace {

constexpr unsigned calling_machine = 11;
constexpr unsigned callers = 24;
/** From the last bytes that the leaving client sends to the end of its connection. */
constexpr milliseconds time_to_leave(100);
constexpr unsigned leaving_clients = 5;

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/** What became of one request of the callers. */
struct outcome {
    int status_ = 0;
    bool closed_ = false; ///< The connection ended without an answer.
    bool is_kept_ = false;
};

/** Callers that use their connections again and again. */
class kept_callers {
  public:
    kept_callers(deployment& system, record& log) : system_(system), log_(log)
    {
        for (unsigned index = 0; index < callers; ++index) {
            threads_.emplace_back([this] { call_on(); });
        }
    }

    auto stop() -> std::map<std::string, outcome>
    {
        is_on_ = false;
        for (auto& thread : threads_) {
            thread.join();
        }
        return outcomes_;
    }

  private:
    void call_on()
    {
        caller connection(system_.outbound_address(calling_machine));
        while (is_on_) {
            const auto id = make_id();
            const bool is_kept = connection.is_connected();
            const auto result = connection.call(
                "GET", "/lookup/1", {},
                {"Host: shop.example", "X-Request-Id: " + id, "X-Deadline-Ms: 2000"},
                milliseconds(2'500));
            log_.line("request " + id + (is_kept ? " on a kept connection -> " : " -> ") +
                      std::to_string(result.status_) +
                      (result.closed_ ? ", closed without an answer" : ""));
            {
                const std::lock_guard guard(mutex_);
                outcomes_[id] = {result.status_, result.closed_, is_kept};
            }
            pause(milliseconds(result.status_ == 200 ? 20 : 200));
        }
    }

    deployment& system_;
    record& log_;
    std::atomic<bool> is_on_{true};
    std::mutex mutex_;
    std::map<std::string, outcome> outcomes_;
    std::vector<std::thread> threads_;
};

/** Sends an order with an empty body in chunks. If the client \p leaves, it does so before the last
 * two bytes. Returns the status of the answer, or 0 if there is none. */
auto send_order(const deployment& system, const std::string& id, bool leaves) -> int
{
    const auto to = system.outbound_address(calling_machine);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(to.port_);
    inet_pton(AF_INET, to.ip_.c_str(), &target.sin_addr);
    int status = 0;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0) {
        const std::string request =
            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
            "\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n";
        ::send(socket, request.data(), request.size() - (leaves ? 2 : 0), MSG_NOSIGNAL);
        if (leaves) {
            pause(time_to_leave);
        }
        else {
            const timeval limit{3, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
            std::array<char, 64> answer{};
            const bool is_answered = ::recv(socket, answer.data(), answer.size() - 1, 0) > 12;
            status = is_answered ? std::atoi(answer.data() + 9) : 0;
        }
    }
    ::close(socket);
    return status;
}

auto play(record& log) -> int
{
    auto& system = *new deployment(1); // threads of the servers use it until the program ends
    operator_client boss(system, log);
    const std::vector<unsigned> controls{1, 2, 3};
    for (const auto machine : controls) {
        system.configure_control(machine, controls, true);
        system.start(machine);
    }
    const std::map<unsigned, std::string> services{{11, "front"}, {12, "desk"}, {13, "desk"}};
    for (const auto& [machine, service] : services) {
        system.configure_node(machine, controls, service);
        system.start(machine);
    }
    const auto document = make_config(
        5, {{"r-lookup", "/lookup/", "safe", "desk"}, {"r-order", "/order/", "unsafe", "desk"}},
        {"desk", "front"});
    if (boss.put(controls, 5, 0, document, milliseconds(20'000)) != 200) {
        give_up("the configuration was not accepted");
    }
    // never destroyed: their threads run until the program ends
    auto& servers = *new std::map<unsigned, std::unique_ptr<server>>;
    for (const auto& [machine, service] : services) {
        server_options options{service, "i-" + std::to_string(machine)};
        options.slots_ = 18;
        options.work_ = milliseconds(150);
        servers[machine] = std::make_unique<server>(system, machine, options, log);
    }
    pause(milliseconds(4'000));
    kept_callers others(system, log);
    pause(milliseconds(4'000));
    unsigned ends = 0;
    unsigned answered = 0;
    for (unsigned index = 0; index < leaving_clients; ++index) {
        const auto id = make_id();
        const auto status = send_order(system, id, has_trouble());
        answered += status == 200 ? 1 : 0;
        log.say("order " + id + ", an empty body in chunks" +
                (has_trouble() ? "; the client left before its last two bytes"
                               : " -> " + std::to_string(status)));
        pause(milliseconds(500));
        if (system.at(calling_machine).has_ended()) {
            ++ends;
            log.say("the node of machine 11 has ended by itself; the platform starts it again");
            system.start(calling_machine);
        }
        pause(milliseconds(3'500));
    }
    const auto outcomes = others.stop();
    std::map<std::string, bool> ran;
    for (const auto& [machine, server] : servers) {
        for (const auto& run : server->runs()) {
            ran[run.request_] = true;
            log.line("run " + run.request_ + " at machine " + std::to_string(machine));
        }
    }
    unsigned broken = 0;
    unsigned served = 0;
    for (const auto& [id, result] : outcomes) {
        broken += result.closed_ && result.is_kept_ && ran.contains(id) ? 1 : 0;
        served += result.status_ == 200 ? 1 : 0;
    }
    log.say("orders answered with 200: " + std::to_string(answered) + " of " +
            std::to_string(leaving_clients) + "; ends of the node by itself: " +
            std::to_string(ends) + "; lookups served: " + std::to_string(served));
    log.say("requests from kept connections that a sound server got and whose connection ended "
            "without an answer: " +
            std::to_string(broken));
    for (auto& [machine, server] : servers) {
        server->exit();
    }
    delete &system;
    return served == 0 ? could_not_run : broken > 3 ? rule_broken : rule_held;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        give_up("usage: leaving_caller FOLDER");
    }
    record log(argv[1]);
    const auto result = play(log);
    log.say(result == rule_broken ? "RESULT: LOST is broken" : "RESULT: the rule held");
    std::_Exit(result);
}
