/** \file
 * Users place orders, which may not be repeated. Their requests bear a header of their own
 * application, Idempotency-Key. Then many users come at once; the application of the new ones
 * numbers the orders of each user from 1. Each order must run, and each user must get the answer to
 * his own.
 */
#include "lab.h"

using namespace lab;

namespace {

constexpr unsigned usual_users = 10;
/** A burst of 1.7 times the usual users, for 3 s. */
constexpr unsigned further_users = 7;
constexpr unsigned orders_of_each = 4;
constexpr milliseconds time_between_orders(500);
/** The further users come one after the other, within the 3 s. */
constexpr milliseconds time_between_arrivals(130);

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/** What became of one order. */
struct outcome {
    std::string user_;
    std::string sent_;
    answer answer_;
};

class shop {
  public:
    shop(deployment& system, record& log) : system_(system), log_(log) {}

    /** Places the orders of one user, one after the other; \p numbers: with the keys 1, 2, 3. */
    void order(const std::string& user, unsigned machine, bool numbers)
    {
        caller connection(system_.outbound_address(machine));
        for (unsigned index = 1; index <= orders_of_each; ++index) {
            const auto id = make_id();
            const auto key = numbers ? std::to_string(index) : make_id() + make_id();
            const auto body = "order " + std::to_string(index) + " of " + user;
            const auto result =
                connection.call("POST", "/orders/", body,
                                {"Host: shop.example", "X-Request-Id: " + id, "X-Deadline-Ms: 2500",
                                 "Authorization: Bearer " + user, "Idempotency-Key: " + key},
                                milliseconds(3'000));
            log_.line("request " + id + " at machine " + std::to_string(machine) + ", key " + key +
                      ", \"" + body + "\" -> " + std::to_string(result.status_) +
                      ", X-Request-Id " + result.header("x-request-id") + ", \"" + result.body_ +
                      "\"");
            {
                const std::lock_guard guard(mutex_);
                outcomes_[id] = {user, body, result};
            }
            pause(time_between_orders);
        }
    }

    [[nodiscard]] auto outcomes() const -> const std::map<std::string, outcome>&
    {
        return outcomes_;
    }

  private:
    deployment& system_;
    record& log_;
    std::mutex mutex_;
    std::map<std::string, outcome> outcomes_;
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
    const std::map<unsigned, std::string> services{{11, "desk"}, {12, "desk"}, {13, "front"}};
    for (const auto& [machine, service] : services) {
        system.configure_node(machine, controls, service);
        system.start(machine);
    }
    const auto document =
        make_config(5, {{"r-orders", "/orders/", "unsafe", "desk", 2'000, 500}}, {"desk", "front"});
    if (boss.put(controls, 5, 0, document, milliseconds(20'000)) != 200) {
        give_up("the configuration was not accepted");
    }
    std::map<unsigned, std::unique_ptr<server>> servers;
    for (const auto& [machine, service] : services) {
        server_options options{service, "i-" + std::to_string(machine)};
        options.echoes_ = true;
        servers[machine] = std::make_unique<server>(system, machine, options, log);
    }
    pause(milliseconds(4'000));
    shop orders(system, log);
    std::vector<std::thread> users;
    for (unsigned user = 1; user <= usual_users; ++user) {
        users.emplace_back([&orders, user] {
            orders.order("user-" + std::to_string(user), 11 + user % 3, false);
        });
    }
    if (has_trouble()) {
        log.say("many users come at once: 1.7 times the usual, for 3 s");
        for (unsigned user = 1; user <= further_users; ++user) {
            users.emplace_back([&orders, user] {
                pause(time_between_arrivals * user);
                orders.order("new-user-" + std::to_string(user), 11 + user % 3, true);
            });
        }
    }
    for (auto& user : users) {
        user.join();
    }
    std::map<std::string, unsigned> runs;
    for (const auto& [machine, server] : servers) {
        for (const auto& run : server->runs()) {
            ++runs[run.request_];
            log.line("run " + run.request_ + " at machine " + std::to_string(machine));
        }
    }
    unsigned served = 0;
    unsigned foreign = 0;
    unsigned never_run = 0;
    unsigned others = 0;
    for (const auto& [id, result] : orders.outcomes()) {
        const bool is_success = result.answer_.status_ == 200;
        const bool is_own = result.answer_.header("x-request-id") == id &&
                            result.answer_.body_ == "taken: " + result.sent_;
        served += is_success && is_own ? 1 : 0;
        foreign += is_success && !is_own ? 1 : 0;
        never_run += is_success && !runs.contains(id) ? 1 : 0;
        others += is_success ? 0 : 1;
    }
    log.say(
        "orders: " + std::to_string(orders.outcomes().size()) +
        "; answered with the answer to the order: " + std::to_string(served) +
        "; answered with a success that belongs to another request: " + std::to_string(foreign) +
        "; answered with a success and never run: " + std::to_string(never_run) +
        "; other answers: " + std::to_string(others));
    for (auto& [machine, server] : servers) {
        server->exit();
    }
    delete &system;
    return served == 0 ? could_not_run : foreign > 0 ? rule_broken : rule_held;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        give_up("usage: foreign_answer FOLDER");
    }
    record log(argv[1]);
    const auto result = play(log);
    log.say(result == rule_broken ? "RESULT: MIXED is broken" : "RESULT: the rule held");
    std::_Exit(result);
}
