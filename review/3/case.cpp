/** \file
 * Case 3: after one heartbeat from another writer, whose service has a long name, a node takes no
 * configuration any more.
 */
#include <thread>

#include "scene.h"

namespace {

using namespace review;

constexpr auto front = "front";
constexpr auto store = "store";
constexpr auto host = "shop.example";
constexpr int rounds = 5;

/** Returns a heartbeat of another writer, which names a service that no configuration names. */
auto make_foreign_heartbeat(const server& beside) -> std::string
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return R"({"Service":"inventory-search.showrooms.dealers.ie-east-a.mesh.internal.example.org",)"
           R"("Address":")" +
           beside.setup().listen_.text() +
           R"(","Zone":"zone-b","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,)"
           R"("Sequence":1,"born":)" +
           std::to_string(std::chrono::duration_cast<milliseconds>(now).count()) + "}";
}

auto run_case(record& record) -> int
{
    scene scene(record, 3, {front, store, store}, [](const request&) { return work{}; });
    const std::vector<std::string> services{front, store};
    if (!scene.start(make_config("00000001", {{"r-all", host, "/", front}}, services))) {
        return exit_could_not_run;
    }
    if (has_trouble()) {
        auto& beside = scene.server_of(1);
        const auto status = beside.send_heartbeat("i-5c1f07aa", make_foreign_heartbeat(beside));
        record.note("the heartbeat from another writer -> " + std::to_string(status));
    }
    scene::settle();
    // The next version moves the route to the other service.
    if (scene.system().put_config("00000001",
                                  make_config("00000002", {{"r-all", host, "/", store}}, services),
                                  operator_patience) != 200) {
        return exit_could_not_run;
    }
    std::this_thread::sleep_for(config_time + std::chrono::seconds(2));
    int by_old_service = 0;
    int by_new_service = 0;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t node = 0; node < 3; ++node) {
            const auto answer = scene.ask(node, {"GET", "/page", {{"Host", host}}, ""});
            const auto id = field(answer.fields_, "Sent-Id");
            by_old_service += scene.count_runs(front, id);
            by_new_service += scene.count_runs(store, id);
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }
    record.note("sent from 4 s after the acknowledgement on: run by the old service " +
                std::to_string(by_old_service) + ", by the new one " +
                std::to_string(by_new_service));
    return finish(record, "CONFIG", by_old_service > 0);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return review::run_main(argc, argv, run_case);
}
