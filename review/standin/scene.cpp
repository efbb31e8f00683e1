#include "scene.h"

#include <thread>

namespace review {

scene::scene(record& record, unsigned cores, const std::vector<std::string>& services,
             const server::work_of& work_of, unsigned slots)
    : record_(record), system_(record, cores, services)
{
    for (std::size_t index = 0; index < services.size(); ++index) {
        const auto& beside = system_.node(index);
        server_setup setup{"i-" + beside.service_ + "-" + std::to_string(index), beside.service_,
                           beside.zone_, system_.app(beside), system_.control(beside)};
        setup.slots_ = slots;
        servers_.push_back(std::make_unique<server>(std::move(setup), record, work_of));
    }
}

auto scene::start(const std::string& config) -> bool
{
    if (!system_.start()) {
        return false;
    }
    for (const auto& each : servers_) {
        each->start();
    }
    if (system_.put_config("00000000", config, operator_patience) != 200) {
        return false;
    }
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        if (!system_.wait_until_ready(system_.node(index), operator_patience)) {
            record_.note(system_.node(index).name_ + " is not ready");
            return false;
        }
    }
    settle();
    return true;
}

void scene::settle()
{
    std::this_thread::sleep_for(touch_time + std::chrono::seconds(1));
}

auto scene::ask(std::size_t index, const request& what, milliseconds patience) -> response
{
    auto sent = what;
    const auto id = make_id();
    sent.fields_.emplace_back("X-Request-Id", id);
    sent.fields_.emplace_back("X-Deadline-Ms", std::to_string(patience.count()));
    auto answer = exchange(system_.outbound(system_.node(index)), sent, patience);
    record_.note("request " + id + " " + what.method_ + " " + field(what.fields_, "Host") +
                 what.path_ + " at " + system_.node(index).name_ + " -> " +
                 std::to_string(answer.status_) + " " + name_of(answer.ending_) +
                 ", X-Request-Id " + field(answer.fields_, "X-Request-Id") +
                 ", X-Response-Signature " + field(answer.fields_, "X-Response-Signature"));
    answer.fields_.emplace_back("Sent-Id", id);
    return answer;
}

auto scene::count_runs(const std::string& service, const std::string& id) -> int
{
    int count = 0;
    for (const auto& each : servers_) {
        if (each->setup().service_ != service) {
            continue;
        }
        for (const auto& run : each->runs()) {
            count += run.id_ == id ? 1 : 0;
        }
    }
    return count;
}

auto run_main(int argc, char** argv, int (*body)(record&)) -> int
{
    record record(argc > 1 ? argv[1] : "record.txt");
    record.note(has_trouble() ? "with the disruption" : "without the disruption");
    const auto status = body(record);
    if (status == exit_could_not_run) {
        record.note("the case could not run");
    }
    return status;
}

auto finish(record& record, const std::string& rule, bool is_broken) -> int
{
    record.note(rule + (is_broken ? " is broken" : " holds"));
    return is_broken ? exit_broken : exit_held;
}

} // namespace review
