/** \file
 * Callers of one machine upload to a service of four servers. For some seconds, again and again,
 * the servers reject a part of the requests at once, as not executed. The processes must stay
 * within MemoryMb. The script acts as the platform: it kills a process that uses more.
 */
#include <csignal>

#include "lab.h"

using namespace lab;

namespace {

constexpr std::uint64_t memory_mb = 260;
constexpr unsigned calling_machine = 11;
/** The share of the requests that each server rejects, and for how long. */
constexpr double rejected_share = 0.55;
constexpr milliseconds spell_time(8'500);
constexpr milliseconds time_between_spells(6'500);
constexpr unsigned spells = 6;
constexpr double uploads_per_second = 45;
constexpr double lookups_per_second = 120;
constexpr std::size_t upload_bytes = 300'000;
constexpr milliseconds deadline(6'000);
constexpr unsigned client_retries = 2;
constexpr unsigned client_threads = 80; ///< For each kind of request.

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/** The users of the calling machine. Requests start at their times, whether or not earlier ones
 * have been answered; each is sent again after a refusal, at the time that Retry-After names. */
class users {
  public:
    explicit users(deployment& system) : system_(system)
    {
        for (unsigned index = 0; index < client_threads; ++index) {
            std::thread([this] { work(uploads_); }).detach();
            std::thread([this] { work(lookups_); }).detach();
        }
    }

    void stop() { is_on_ = false; }
    /** Returns how many requests had each status; 0: their connection ended without an answer. */
    [[nodiscard]] auto counts() -> std::map<int, unsigned>
    {
        const std::lock_guard guard(mutex_);
        return counts_;
    }
    /** The requests whose connection ended without an answer, and whether it had served others. */
    [[nodiscard]] auto unanswered() -> std::map<std::string, bool>
    {
        const std::lock_guard guard(mutex_);
        return unanswered_;
    }

  private:
    /** A kind of request, and when the next one starts. */
    struct stream {
        std::string method_;
        std::string path_;
        std::string body_;
        double per_second_;
        clock::time_point next_;
    };

    void work(stream& kind)
    {
        caller connection(system_.outbound_address(calling_machine));
        while (is_on_) {
            {
                std::unique_lock lock(mutex_);
                const auto start = std::max(kind.next_, clock::now() - milliseconds(50));
                kind.next_ = start + std::chrono::duration_cast<clock::duration>(
                                         std::chrono::duration<double>(1 / kind.per_second_));
                lock.unlock();
                std::this_thread::sleep_until(start);
            }
            send(connection, kind);
        }
    }

    void send(caller& connection, const stream& kind)
    {
        const auto end = clock::now() + deadline;
        for (unsigned attempt = 0; attempt <= client_retries; ++attempt) {
            const auto left = std::chrono::duration_cast<milliseconds>(end - clock::now()).count();
            if (left < 100 || !is_on_) {
                return;
            }
            const bool is_kept = connection.is_connected();
            const auto id = make_id();
            const auto result = connection.call(kind.method_, kind.path_, kind.body_,
                                                {"Host: shop.example", "X-Request-Id: " + id,
                                                 "X-Deadline-Ms: " + std::to_string(left)},
                                                milliseconds(left));
            {
                const std::lock_guard guard(mutex_);
                ++counts_[result.status_];
                if (result.closed_) {
                    unanswered_[id] = is_kept;
                }
            }
            if (result.status_ != 503 && result.status_ != 429) {
                return;
            }
            connection.close(); // a retry uses a new connection
            const auto wait = std::atof(result.header("retry-after").c_str()) * 1'000;
            pause(milliseconds(static_cast<int>(std::min(wait, static_cast<double>(left) / 3))));
        }
    }

    deployment& system_;
    std::atomic<bool> is_on_{true};
    std::mutex mutex_;
    stream uploads_{"POST", "/upload/1", std::string(upload_bytes, 'u'), uploads_per_second,
                    clock::now()};
    stream lookups_{"GET", "/lookup/1", {}, lookups_per_second, clock::now()};
    std::map<int, unsigned> counts_;
    std::map<std::string, bool> unanswered_;
};

auto to_text(const std::map<int, unsigned>& counts) -> std::string
{
    std::string text;
    for (const auto& [status, count] : counts) {
        text += " " + std::to_string(status) + ": " + std::to_string(count) + ";";
    }
    return text;
}

auto play(record& log) -> int
{
    auto& system = *new deployment(1); // threads use it until the program ends
    operator_client boss(system, log);
    const std::vector<unsigned> controls{1, 2, 3};
    for (const auto machine : controls) {
        system.configure_control(machine, controls, true);
        system.start(machine);
    }
    const std::map<unsigned, std::string> services{{11, "front"}, {12, "store"}, {13, "store"},
                                                   {14, "store"}, {15, "store"}, {16, "desk"},
                                                   {17, "desk"},  {18, "desk"}};
    for (const auto& [machine, service] : services) {
        system.configure_node(machine, controls, service);
        system.start(machine);
    }
    const auto document = make_config(5,
                                      {{"r-upload", "/upload/", "upload", "store", 3'000, 1'000},
                                       {"r-lookup", "/lookup/", "safe", "desk", 3'000, 1'000}},
                                      {"store", "desk", "front"});
    if (boss.put(controls, 5, 0, document, milliseconds(20'000)) != 200) {
        give_up("the configuration was not accepted");
    }
    // never destroyed: their threads run until the program ends
    auto& servers = *new std::map<unsigned, std::unique_ptr<server>>;
    for (const auto& [machine, service] : services) {
        server_options options{service, "i-" + std::to_string(machine)};
        options.work_ = milliseconds(150);
        servers[machine] = std::make_unique<server>(system, machine, options, log);
    }
    pause(milliseconds(4'000));

    auto& all = *new users(system); // never destroyed: its threads run until the program ends
    bool is_killed = false;
    std::uint64_t most_mb = 0;
    const auto watch = [&](milliseconds time) {
        const auto end = clock::now() + time;
        auto next_line = clock::now();
        while (!is_killed && clock::now() < end) {
            const auto used_mb = system.at(calling_machine).resident_kib() / 1'024;
            most_mb = std::max(most_mb, used_mb);
            if (clock::now() >= next_line) {
                next_line += milliseconds(1'000);
                log.line("node of machine 11 uses " + std::to_string(used_mb) +
                         " MB; answers so far:" + to_text(all.counts()));
            }
            if (used_mb > memory_mb) {
                log.say("the node of machine 11 uses " + std::to_string(used_mb) +
                        " MB, more than MemoryMb = 260: the platform kills it");
                system.kill(calling_machine);
                is_killed = true;
            }
            pause(milliseconds(50));
        }
    };
    log.say("the users of machine 11 upload 45 times a second and look up 120 times");
    watch(milliseconds(5'000));
    for (unsigned spell = 0; spell < spells && !is_killed; ++spell) {
        const auto reject = [&](double share) {
            for (const auto machine : {12U, 13U, 14U, 15U}) {
                servers[machine]->reject_share(share);
            }
        };
        if (has_trouble()) {
            reject(rejected_share);
            log.say("the four servers of store reject 0.55 of the requests, for 8.5 s");
        }
        watch(spell_time);
        reject(0);
        log.say("all servers take every request; the node of machine 11 has used up to " +
                std::to_string(most_mb) + " MB");
        watch(time_between_spells);
    }
    pause(milliseconds(1'000));
    all.stop();
    std::map<std::string, bool> ran; ///< Whether at a server that rejects nothing.
    for (const auto& [machine, server] : servers) {
        for (const auto& run : server->runs()) {
            ran[run.request_] = ran[run.request_] || services.at(machine) == "desk";
            log.line("run " + run.request_ + " at machine " + std::to_string(machine));
        }
        log.say("server of machine " + std::to_string(machine) + ": runs " +
                std::to_string(server->runs().size()) + ", rejected " +
                std::to_string(server->rejected()));
    }
    unsigned broken = 0;
    for (const auto& [id, is_kept] : all.unanswered()) {
        log.line("unanswered " + id + (is_kept ? " on a kept connection" : " on a new connection") +
                 (!ran.contains(id) ? ", did not run"
                  : ran[id]         ? ", ran at desk"
                                    : ", ran at store"));
        broken += is_kept && ran.contains(id) && ran[id] ? 1 : 0;
    }
    log.say("answers:" + to_text(all.counts()));
    log.say("most memory of the node of machine 11: " + std::to_string(most_mb) + " MB");
    log.say("requests from kept connections that an undisturbed server got and whose connection "
            "ended without an answer: " +
            std::to_string(broken));
    for (auto& [machine, server] : servers) {
        server->exit();
    }
    delete &system;
    return is_killed && broken > 3 ? rule_broken : rule_held;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        give_up("usage: refused_uploads FOLDER");
    }
    record log(argv[1]);
    const auto result = play(log);
    log.say(result == rule_broken ? "RESULT: LOST is broken" : "RESULT: the rule held");
    std::_Exit(result);
}
