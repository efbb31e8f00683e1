/** \file
 * Three of five control machines are replaced as planned. Their successors run for CatchUpS and
 * longer; then the three machines get SIGTERM, a second apart, and are removed. The configuration
 * that was acknowledged before must be read back, and the next one accepted.
 */
#include "lab.h"

using namespace lab;

namespace {

constexpr milliseconds catch_up(4'000);
constexpr milliseconds recover(15'000);
constexpr milliseconds touch(3'000);
constexpr milliseconds time_between_removals(1'000);

auto config(std::uint32_t version) -> std::string
{
    return make_config(version, {{"r-lookup", "/lookup/", "safe", "stock"}}, {"stock"});
}

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

auto play(record& log) -> int
{
    deployment system(2);
    operator_client boss(system, log);
    const std::vector<unsigned> first{1, 2, 3, 4, 5};
    const std::vector<unsigned> successors{6, 7, 8};
    const std::vector<unsigned> seeds{1, 2, 3};
    for (const auto machine : first) {
        system.configure_control(machine, seeds, true);
        system.start(machine);
    }
    log.say("five control machines start, two of them may be lost at once");
    if (boss.put(first, 5, 0, config(5), milliseconds(20'000)) != 200) {
        give_up("the first configuration was not accepted");
    }
    for (const auto machine : successors) {
        system.configure_control(machine, seeds, false);
        system.start(machine);
    }
    log.say("machines 6, 7 and 8 start with empty disks, as successors of three machines");
    pause(catch_up + milliseconds(1'000));
    const std::vector<unsigned> all{1, 2, 3, 4, 5, 6, 7, 8};
    if (boss.put(all, 7, 5, config(7), milliseconds(10'000)) != 200) {
        give_up("the second configuration was not accepted");
    }
    log.say("version 00000007 is acknowledged; the leader is machine " +
            std::to_string(boss.leader(first)));
    pause(milliseconds(1'000));
    std::vector<unsigned> left = all;
    if (has_trouble()) {
        for (const auto machine : {3U, 4U, 5U}) {
            system.terminate(machine);
            std::erase(left, machine);
            log.say("machine " + std::to_string(machine) + " got SIGTERM, has ended, is removed");
            pause(time_between_removals);
        }
    }
    log.say("RecoverS passes; " + std::to_string(left.size()) + " control machines run");
    pause(recover);
    log.say("the operator reads the configuration back for TouchMs and more");
    std::string document;
    for (const auto end = clock::now() + touch + touch; document.empty() && clock::now() < end;) {
        document = boss.get(left);
        pause(milliseconds(200));
    }
    const auto status = boss.put(left, 9, 7, config(9), milliseconds(8'000));
    log.say(document.empty()        ? "the configuration does not come"
            : document == config(7) ? "read back: version 00000007"
                                    : "read back: another document");
    log.say("the next change within 8 s: " + std::to_string(status) + " (0: no clear answer)");
    return document == config(7) ? rule_held : rule_broken;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        give_up("usage: replaced_control FOLDER");
    }
    record log(argv[1]);
    const auto result = play(log);
    log.say(result == rule_broken ? "RESULT: CONFIG is broken" : "RESULT: the rule held");
    return result;
}
