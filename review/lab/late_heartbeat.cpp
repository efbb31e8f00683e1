/** \file
 * A node is killed and started again while the server beside it runs on. Before its next heartbeat
 * the server leaves: it sends DELETE, which the node acknowledges. A heartbeat that the server had
 * sent before arrives some seconds late. From DrainMs after the acknowledgement on, the server must
 * get no requests.
 */
#include <csignal>

#include "lab.h"

using namespace lab;

namespace {

constexpr milliseconds drain(2'000);
constexpr milliseconds touch(3'000);
/** How long the heartbeat is on its way. */
constexpr milliseconds heartbeat_delay(2'500);
/** From the last heartbeat to the DELETE: less than one heartbeat interval. */
constexpr milliseconds time_to_delete(1'200);
/** How long the server serves after the acknowledgement of its DELETE. */
constexpr milliseconds time_to_exit(6'500);
constexpr unsigned leaving_machine = 11;
constexpr unsigned callers_per_machine = 10;

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/** What became of one request. */
struct outcome {
    clock::time_point sent_;
    clock::time_point ended_;
    unsigned machine_ = 0;
    int status_ = 0;
};

/** Callers of one machine, each with one connection, who wait a little between their requests. */
class callers {
  public:
    callers(deployment& system, unsigned machine) : system_(system), machine_(machine)
    {
        for (unsigned index = 0; index < callers_per_machine; ++index) {
            threads_.emplace_back([this] { call_on(); });
        }
    }
    ~callers() { stop(); }

    void stop()
    {
        is_on_ = false;
        for (auto& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    [[nodiscard]] auto outcomes() -> std::map<std::string, outcome>
    {
        const std::lock_guard guard(mutex_);
        return outcomes_;
    }

  private:
    void call_on()
    {
        caller connection(system_.outbound_address(machine_));
        while (is_on_) {
            const auto id = make_id();
            outcome result{clock::now(), {}, machine_, 0};
            result.status_ =
                connection
                    .call("POST", "/order/1", "one order",
                          {"Host: shop.example", "X-Request-Id: " + id, "X-Deadline-Ms: 2500"},
                          milliseconds(3'000))
                    .status_;
            result.ended_ = clock::now();
            {
                const std::lock_guard guard(mutex_);
                outcomes_[id] = result;
            }
            pause(milliseconds(150));
        }
    }

    deployment& system_;
    unsigned machine_;
    std::atomic<bool> is_on_{true};
    std::mutex mutex_;
    std::map<std::string, outcome> outcomes_;
    std::vector<std::thread> threads_;
};

auto play(record& log) -> int
{
    auto& system = *new deployment(1); // threads of the servers use it until the program ends
    operator_client boss(system, log);
    const std::vector<unsigned> controls{1, 2, 3};
    for (const auto machine : controls) {
        system.configure_control(machine, controls, true);
        system.start(machine);
    }
    const std::map<unsigned, std::string> services{{11, "desk"},  {12, "desk"},  {13, "front"},
                                                   {14, "front"}, {15, "front"}, {16, "front"},
                                                   {17, "front"}};
    for (const auto& [machine, service] : services) {
        system.configure_node(machine, controls, service);
        system.start(machine);
    }
    const auto document =
        make_config(5, {{"r-order", "/order/", "unsafe", "desk", 2'000, 500}}, {"desk", "front"});
    if (boss.put(controls, 5, 0, document, milliseconds(20'000)) != 200) {
        give_up("the configuration was not accepted");
    }
    // never destroyed: their threads run until the program ends
    auto& servers = *new std::map<unsigned, std::unique_ptr<server>>;
    for (const auto& [machine, service] : services) {
        server_options options{service, "i-" + std::to_string(machine)};
        options.work_ = milliseconds(200);
        servers[machine] = std::make_unique<server>(system, machine, options, log);
    }
    pause(milliseconds(3'000));
    callers one(system, 12);
    callers other(system, 13);
    pause(milliseconds(5'000));

    auto& leaving = *servers[leaving_machine];
    leaving.stop_heartbeats();
    const auto late = leaving.next_heartbeat("ready");
    log.say("server i-11 sends a heartbeat, which is on its way for 2.5 s");
    std::thread delivery([&] {
        pause(heartbeat_delay);
        const auto status = leaving.send_heartbeat(late);
        log.say("the late heartbeat arrives; the node answers " + std::to_string(status));
    });
    if (has_trouble()) {
        system.kill(leaving_machine);
        system.start(leaving_machine);
        log.say("the node of machine 11 is killed and started again; server i-11 runs on");
    }
    const auto disturbed = clock::now();
    pause(time_to_delete);
    if (leaving.send_delete() != 200) {
        give_up("the node did not acknowledge the DELETE");
    }
    const auto acknowledged = clock::now();
    log.say("server i-11 leaves: its DELETE is acknowledged");
    pause(time_to_exit);
    const auto at_exit = leaving.running();
    leaving.exit();
    log.say("server i-11 exits; requests that it was running: " + std::to_string(at_exit));
    pause(milliseconds(2'500));
    one.stop();
    other.stop();
    delivery.join();

    auto outcomes = one.outcomes();
    outcomes.merge(other.outcomes());
    const auto allowed_until = acknowledged + drain;
    const auto in_touch_from = disturbed + touch + milliseconds(1'000);
    unsigned before = 0;
    unsigned late_runs = 0;
    unsigned lost = 0;
    for (const auto& run : leaving.runs()) {
        const auto& request = outcomes[run.request_];
        log.line("run at i-11: " + run.request_ + " began at " +
                 std::to_string(log.seconds(run.began_)) + ", from machine " +
                 std::to_string(request.machine_) + ", caller got " +
                 std::to_string(request.status_));
        before += run.began_ <= acknowledged ? 1 : 0;
        const bool is_late = run.began_ > allowed_until && run.began_ > in_touch_from;
        late_runs += is_late ? 1 : 0;
        lost += is_late && request.status_ != 200 ? 1 : 0;
    }
    for (const auto& [id, request] : outcomes) {
        log.line("request " + id + " sent at " + std::to_string(log.seconds(request.sent_)) +
                 " to machine " + std::to_string(request.machine_) + " -> " +
                 std::to_string(request.status_));
    }
    log.say("runs at i-11 before the acknowledgement: " + std::to_string(before));
    log.say("runs that reached i-11 later than DrainMs after it, by machines in touch: " +
            std::to_string(late_runs) +
            "; of these, not answered with 200: " + std::to_string(lost));
    for (auto& [machine, server] : servers) {
        server->exit();
    }
    for (const auto& [machine, service] : services) {
        system.kill(machine);
    }
    for (const auto machine : controls) {
        system.kill(machine);
    }
    delete &system;
    return before == 0 ? could_not_run : late_runs > 0 ? rule_broken : rule_held;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        give_up("usage: late_heartbeat FOLDER");
    }
    record log(argv[1]);
    const auto result = play(log);
    log.say(result == rule_broken ? "RESULT: DRAIN is broken" : "RESULT: the rule held");
    std::_Exit(result);
}
