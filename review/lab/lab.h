/** \file
 * Helpers for the scripts of the review: processes of the project on loopback addresses, a server
 * that the platform would place beside a node, HTTP callers, and a record of what happened.
 *
 * Every machine is one loopback address of a network 127.A.B.0/24 that is free on this host, with
 * the same ports on each. Settings files are made from the templates of the deploy file, and the
 * daemon is started with the command of the deploy file.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace lab {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/** The exit codes of a script. */
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/** Returns whether the script runs with its disruption (TROUBLE is not 0). */
[[nodiscard]] auto has_trouble() -> bool;

/** Ends the program with could_not_run. */
[[noreturn]] void give_up(const std::string& reason);

/** Returns a random request id of 16 hexadecimal digits. */
[[nodiscard]] auto make_id() -> std::string;

/** The file record.txt: one line for each event, with the seconds since the start. Thread-safe. */
class record {
  public:
    explicit record(const std::string& folder);
    void line(const std::string& text);
    /** As line(), and also to standard output. */
    void say(const std::string& text);
    [[nodiscard]] auto seconds(clock::time_point time = clock::now()) const -> double;

  private:
    clock::time_point start_ = clock::now();
    std::mutex mutex_;
    std::ofstream file_;
};

/** A complete HTTP message, or none. */
struct answer {
    int status_ = 0; ///< 0: no complete answer.
    std::map<std::string, std::string> headers_;
    std::string body_;
    /** Why there is none: empty if nothing was read, else what was read. */
    bool closed_ = false;
    [[nodiscard]] auto header(const std::string& name) const -> std::string;
};

/** An IPv4 address and a port. */
struct address {
    std::string ip_;
    std::uint16_t port_ = 0;
};
[[nodiscard]] auto to_text(const address& where) -> std::string;
[[nodiscard]] auto parse_address(const std::string& text) -> address;

/** An HTTP/1.1 caller on one connection, which is kept between requests unless told otherwise. */
class caller {
  public:
    explicit caller(address to) : to_(std::move(to)) {}
    caller(const caller&) = delete;
    auto operator=(const caller&) -> caller& = delete;
    ~caller() { close(); }

    /** Sends one request and reads its answer. Stops sending when the answer arrives first. */
    auto call(const std::string& method, const std::string& path, const std::string& body,
              const std::vector<std::string>& fields, milliseconds timeout) -> answer;
    [[nodiscard]] auto is_connected() const -> bool { return socket_ >= 0; }
    void close();

  private:
    auto connect(clock::time_point end) -> bool;

    address to_;
    int socket_ = -1;
};

/** A child process. */
class process {
  public:
    void start(const std::vector<std::string>& command, const std::string& settings,
               const std::string& log);
    void signal(int number) const;
    /** Waits until it has ended. */
    void wait();
    /** Returns whether it has ended by itself. */
    [[nodiscard]] auto has_ended() -> bool;
    [[nodiscard]] auto resident_kib() const -> std::uint64_t;

  private:
    pid_t id_ = -1;
};

/** The project's processes, by machine. Ends all of them in its destructor. */
class deployment {
  public:
    /** Runs in the root of the repository. \p tolerate: machines with a disk that may be lost. */
    explicit deployment(unsigned tolerate);
    ~deployment();
    deployment(const deployment&) = delete;
    auto operator=(const deployment&) -> deployment& = delete;

    /** Writes the settings file of a control machine. */
    void configure_control(unsigned machine, const std::vector<unsigned>& seeds, bool bootstrap);
    /** Writes the settings file of a node beside a server of \p service. */
    void configure_node(unsigned machine, const std::vector<unsigned>& seeds,
                        const std::string& service);
    void start(unsigned machine);
    void signal(unsigned machine, int number);
    /** SIGKILL, or SIGTERM and up to GraceS, and waits until the process has ended. */
    void kill(unsigned machine);
    void terminate(unsigned machine);
    /** Removes the data folder of a control machine. */
    void lose_disk(unsigned machine);
    [[nodiscard]] auto at(unsigned machine) -> process& { return processes_[machine]; }
    [[nodiscard]] auto ip(unsigned machine) const -> std::string;
    [[nodiscard]] auto control_address(unsigned machine) const -> address;
    [[nodiscard]] auto outbound_address(unsigned machine) const -> address;
    [[nodiscard]] auto ready_address(unsigned machine) const -> address;
    [[nodiscard]] auto server_address(unsigned machine) const -> address;
    /** Returns whether the node answers 200 to the platform's question. */
    [[nodiscard]] auto is_ready(unsigned machine) const -> bool;

  private:
    void write_settings(unsigned machine, const std::string& role,
                        std::map<std::string, std::string> values);

    unsigned tolerate_;
    std::string folder_;
    std::string network_;
    std::map<std::string, std::vector<std::string>> commands_;
    std::map<std::string, std::string> templates_;
    std::map<unsigned, std::string> roles_;
    std::map<unsigned, process> processes_;
};

/** A route of a configuration. */
struct route {
    std::string name_;
    std::string prefix_;
    std::string kind_;
    std::string service_;
    unsigned timeout_ms_ = 1'000;
    unsigned target_latency_ms_ = 300;
    std::string host_ = "shop.example";
};

/** Returns the document of a configuration with the version \p version. */
[[nodiscard]] auto make_config(std::uint32_t version, const std::vector<route>& routes,
                               const std::vector<std::string>& services) -> std::string;
[[nodiscard]] auto version_text(std::uint32_t version) -> std::string;

/** The operator: follows a 307 twice, and moves on to the next machine after a failure, a 5xx, or
 * a second without an answer. */
class operator_client {
  public:
    operator_client(deployment& system, record& log) : system_(system), log_(log) {}
    /** Sends a change until it has a clear answer or \p limit has passed; returns the status. */
    auto put(const std::vector<unsigned>& machines, std::uint32_t version, std::uint32_t base,
             const std::string& document, milliseconds limit) -> int;
    /** Asks each of \p machines once; returns the body of the first 200, or nothing. */
    auto get(const std::vector<unsigned>& machines) -> std::string;
    /** Returns the machine that the others name as the leader, or 0. */
    auto leader(const std::vector<unsigned>& machines) -> unsigned;

  private:
    auto order(unsigned machine, const std::string& method, const std::string& body,
               const std::vector<std::string>& fields) -> answer;

    deployment& system_;
    record& log_;
};

/** How a server behaves. */
struct server_options {
    std::string service_;
    std::string id_;
    unsigned slots_ = 9;
    unsigned queue_ = 36;
    milliseconds work_{50};
    milliseconds heartbeat_{1'500};
};

/** A run of one request at a server. */
struct run {
    clock::time_point began_;
    std::string request_;
    bool finished_ = false; ///< The answer was written.
};

/** The server beside a node: answers requests, and tells the node about itself. */
class server {
  public:
    server(deployment& system, unsigned machine, server_options options, record& log);
    ~server();
    server(const server&) = delete;
    auto operator=(const server&) -> server& = delete;

    /** Returns the next heartbeat, whose Sequence is one higher than that of the last one. */
    auto next_heartbeat(const std::string& state) -> std::string;
    /** Sends a heartbeat to the node; returns the status of the answer. */
    auto send_heartbeat(const std::string& body) -> int;
    /** Sends DELETE to the node; returns the status of the answer. */
    auto send_delete() -> int;
    void stop_heartbeats() { beats_ = false; }
    /** Sets the share of the requests that it rejects at once, with X-Not-Executed. The answer does
     * not wait for the body, which is read afterwards. */
    void reject_share(double share) { rejected_share_ = share; }
    /** Ends the server: its connections are closed at once. */
    void exit();
    [[nodiscard]] auto runs() -> std::vector<run>;
    [[nodiscard]] auto running() -> unsigned;
    [[nodiscard]] auto rejected() const -> unsigned { return rejected_; }

  private:
    void accept_all();
    void serve(int socket);
    [[nodiscard]] auto rejects_next() const -> bool;
    auto answer_request(int socket, const std::map<std::string, std::string>& fields) -> bool;
    void beat();

    deployment& system_;
    unsigned machine_;
    server_options options_;
    record& log_;
    std::uint64_t born_ms_;
    std::atomic<unsigned> sequence_{0};
    std::atomic<bool> beats_{true};
    std::atomic<bool> open_{true};
    std::atomic<unsigned> rejected_{0};
    std::atomic<double> rejected_share_{0};
    int listener_ = -1;
    std::mutex mutex_;
    std::condition_variable slot_free_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::vector<run> runs_;
    std::set<int> sockets_;
    std::vector<std::thread> threads_;
};

} // namespace lab
