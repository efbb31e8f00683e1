/** \file
 * The operator adds a route whose Host is written with capital letters. The change is acknowledged.
 * From ConfigMs after that, requests with this Host must be served.
 */
#include "lab.h"

using namespace lab;

namespace {

constexpr milliseconds config_bound(2'000);
constexpr milliseconds touch(3'000);
constexpr unsigned requests = 100;

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
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
    const std::map<unsigned, std::string> services{{11, "desk"}, {12, "desk"}, {13, "desk"}};
    for (const auto& [machine, service] : services) {
        system.configure_node(machine, controls, service);
        system.start(machine);
    }
    const route lookup{"r-lookup", "/lookup/", "safe", "desk"};
    if (boss.put(controls, 5, 0, make_config(5, {lookup}, {"desk"}), milliseconds(20'000)) != 200) {
        give_up("the first configuration was not accepted");
    }
    std::map<unsigned, std::unique_ptr<server>> servers;
    for (const auto& [machine, service] : services) {
        server_options options{service, "i-" + std::to_string(machine)};
        options.work_ = milliseconds(20);
        servers[machine] = std::make_unique<server>(system, machine, options, log);
    }
    pause(touch + milliseconds(1'000));
    route orders{"r-orders", "/orders/", "safe", "desk"};
    orders.host_ = has_trouble() ? "Orders.Example" : "orders.example";
    const auto changed = make_config(7, {lookup, orders}, {"desk"});
    if (boss.put(controls, 7, 5, changed, milliseconds(10'000)) != 200) {
        give_up("the change was not accepted");
    }
    log.say("version 00000007 is acknowledged: it adds a route for the Host " + orders.host_);
    pause(config_bound + touch);
    std::map<std::string, std::map<int, unsigned>> statuses;
    for (unsigned index = 0; index < requests; ++index) {
        const auto machine = 11 + index % 3;
        caller connection(system.outbound_address(machine));
        for (const auto& [host, path] :
             {std::pair(lookup.host_, "/lookup/1"), std::pair(orders.host_, "/orders/1")}) {
            const auto id = make_id();
            const auto result = connection.call(
                "GET", path, {}, {"Host: " + host, "X-Request-Id: " + id, "X-Deadline-Ms: 1000"},
                milliseconds(1'500));
            ++statuses[host][result.status_];
            log.line("request " + id + " for " + host + path + " at machine " +
                     std::to_string(machine) + " -> " + std::to_string(result.status_));
        }
    }
    const auto document = boss.get(controls);
    log.say(document == changed ? "read back: version 00000007 as it was sent"
                                : "read back: not what was sent");
    for (const auto& [host, counts] : statuses) {
        std::string text;
        for (const auto& [status, count] : counts) {
            text += " " + std::to_string(status) + ": " + std::to_string(count) + ";";
        }
        log.say("requests for " + host + ", sent later than ConfigMs after it:" + text);
    }
    for (auto& [machine, server] : servers) {
        server->exit();
    }
    const auto refused = statuses[orders.host_][404];
    const auto served = statuses[lookup.host_][200];
    delete &system;
    return served < requests / 2 ? could_not_run : refused > 5 ? rule_broken : rule_held;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        give_up("usage: mixed_case_host FOLDER");
    }
    record log(argv[1]);
    const auto result = play(log);
    log.say(result == rule_broken ? "RESULT: CONFIG is broken" : "RESULT: the rule held");
    std::_Exit(result);
}
