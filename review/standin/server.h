/** \file
 * A stand-in for an application server, as PROTOCOL.md describes one: it announces itself to the
 * node beside it, runs requests in slots, signs its answers, rejects what it did not run, and
 * stops work when a deadline passes or a connection closes.
 */
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

/** How a server is set up. */
struct server_setup {
    std::string id_;
    std::string service_;
    std::string zone_;
    address listen_;  ///< The AppAddr of its machine.
    address control_; ///< The Control address of the node beside it.
    unsigned slots_ = 4;
    unsigned queue_ = 8;
    milliseconds heartbeat_{1'500};
};

/** The work of one request. */
struct work {
    milliseconds time_{5};
    std::size_t answer_bytes_ = 200;
};

/** One request that the server began to run. */
struct run {
    clock::time_point began_;
    std::string id_;
    std::string method_;
    std::string path_;
    std::string caller_service_;
    bool to_good_end_ = false;
};

class server {
  public:
    using work_of = std::function<work(const request& what)>;

    server(server_setup setup, record& record, work_of work_of);
    server(const server&) = delete;
    auto operator=(const server&) -> server& = delete;
    server(server&&) = delete;
    auto operator=(server&&) -> server& = delete;
    ~server() { stop(); }

    /** Begins to serve and to announce itself. */
    void start();
    /** Ends at once: every connection is closed and nothing more is said. */
    void stop();

    /** Sends no further heartbeats. */
    void stop_heartbeats() { announces_ = false; }
    /** Sends one heartbeat, with the next sequence number, and returns the answer's status. */
    auto announce(const std::string& state) -> int;
    /** Sends a heartbeat with the body \p body for the id \p id. */
    auto send_heartbeat(const std::string& id, const std::string& body) -> int;
    /** Takes the next sequence number, and returns the heartbeat that has it, without sending it.
     */
    auto make_heartbeat(const std::string& state) -> std::string;
    /** Sends DELETE; returns the answer's status. */
    auto withdraw() -> int;

    [[nodiscard]] auto runs() -> std::vector<run>;
    [[nodiscard]] auto setup() const -> const server_setup& { return setup_; }

  private:
    void accept_connections();
    void announce_periodically();
    void serve(connection& from);
    auto run_request(connection& from, const request& what, bool& keeps) -> std::string;
    auto wait_for_slot(connection& from, clock::time_point deadline) -> bool;

    server_setup setup_;
    record& record_;
    work_of work_of_;
    std::uint64_t born_;
    std::atomic<std::uint64_t> sequence_{0};
    std::atomic<bool> runs_{false};
    std::atomic<bool> announces_{true};
    int listener_ = -1;
    std::mutex mutex_;
    std::condition_variable slot_free_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::vector<run> history_;
    std::list<std::thread> threads_;
    std::thread acceptor_;
    std::thread announcer_;
};

} // namespace review
