/** \file
 * What the cases have in common: a deployment with its servers and its first configuration.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "deployment.h"
#include "server.h"

namespace review {

constexpr auto config_time = std::chrono::seconds(2); ///< ConfigMs.
constexpr auto touch_time = std::chrono::seconds(3);  ///< TouchMs.
constexpr auto operator_patience = std::chrono::seconds(20);

/** A deployment with one server beside each node. */
class scene {
  public:
    /** \p services: of the servers, one for each node. */
    scene(record& record, unsigned cores, const std::vector<std::string>& services,
          const server::work_of& work_of, unsigned slots = 8);

    /** Starts everything and has \p config acknowledged as the first configuration. Returns false
     * if that fails. */
    auto start(const std::string& config) -> bool;

    /** Waits until every machine has been in touch for long enough, with the newest configuration
     * in force. */
    static void settle();

    /** Sends a request with a fresh id to the node \p index, and records what became of it. */
    auto ask(std::size_t index, const request& what, milliseconds patience = milliseconds(2'000))
        -> response;

    /** Returns how often the servers of \p service ran the request \p id. */
    auto count_runs(const std::string& service, const std::string& id) -> int;

    [[nodiscard]] auto system() -> deployment& { return system_; }
    [[nodiscard]] auto server_of(std::size_t node) -> server& { return *servers_.at(node); }

  private:
    record& record_;
    deployment system_;
    std::vector<std::unique_ptr<server>> servers_;
};

/** Runs \p body with the record at the path that the command line gives, and returns the exit
 * status. */
auto run_main(int argc, char** argv, int (*body)(record&)) -> int;

/** Records whether \p rule was broken, and returns the exit status. */
auto finish(record& record, const std::string& rule, bool is_broken) -> int;

} // namespace review
