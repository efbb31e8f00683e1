/** \file
 * Case 1: a configuration that splits a route over 257 services ends every control process, and
 * again at each restart.
 */
#include <map>
#include <thread>

#include "scene.h"

namespace {

using namespace review;

constexpr auto front = "front";
constexpr unsigned cores = 5; ///< For Tolerate.Machines = 2, as on the sites.
constexpr int parts = 257;
constexpr auto restart_delay = std::chrono::seconds(1);
constexpr auto watch_time = std::chrono::seconds(25);
constexpr auto read_time = std::chrono::seconds(10); ///< More than TouchMs.

/** Returns a valid configuration with one route over `parts` services of equal weight. */
auto make_split_config() -> std::string
{
    const route all{"r-all", "shop.example", "/", front};
    const route split{"r-split", "shop.example", "/split/", "SPLIT"};
    std::vector<std::string> services{front};
    std::string weights;
    for (int part = 0; part < parts; ++part) {
        const auto name = "part-" + std::to_string(part);
        services.push_back(name);
        weights += (part > 0 ? ",{\"Service\":\"" : "{\"Service\":\"") + name + "\",\"Weight\":1}";
    }
    auto config = make_config("00000002", {all, split}, services);
    const std::string single = "\"Service\":\"SPLIT\"";
    return config.replace(config.find(single), single.size(), "\"TrafficSplit\":[" + weights + "]");
}

/** Restarts control processes that have ended, as the platform does; returns how often each one
 * ended. */
auto restart_ended(deployment& system, std::chrono::seconds time) -> std::map<std::string, int>
{
    std::map<std::string, int> ends;
    const auto deadline = clock::now() + time;
    std::map<std::string, clock::time_point> due;
    while (clock::now() < deadline) {
        for (std::size_t index = 0; index < system.cores(); ++index) {
            auto& core = system.core(index);
            if (core.process_ > 0 && !system.is_running(core)) {
                ++ends[core.name_];
                due[core.name_] = clock::now() + restart_delay;
            }
            else if (core.process_ <= 0 && clock::now() >= due[core.name_]) {
                system.start(core, false);
            }
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return ends;
}

auto run_case(record& record) -> int
{
    scene scene(record, cores, {front, front}, [](const request&) { return work{}; });
    const auto first = make_config("00000001", {{"r-all", "shop.example", "/", front}}, {front});
    if (!scene.start(first) || scene.system().get_config(read_time) != first) {
        return exit_could_not_run;
    }
    if (has_trouble()) {
        static_cast<void>(
            scene.system().put_config("00000001", make_split_config(), std::chrono::seconds(4)));
    }
    const auto ends = restart_ended(scene.system(), watch_time);
    for (const auto& [name, count] : ends) {
        record.note(name + " ended by itself " + std::to_string(count) + " times");
    }
    std::thread platform([&] { static_cast<void>(restart_ended(scene.system(), read_time)); });
    const auto config = scene.system().get_config(read_time);
    platform.join();
    record.note(config.empty() ? "the configuration was read back for 10 s and did not come"
                               : "read back: " + config.substr(0, 60));
    return finish(record, "CONFIG", config.empty());
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return review::run_main(argc, argv, run_case);
}
