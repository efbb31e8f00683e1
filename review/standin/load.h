/** \file
 * A steady load of requests, each by a client of its own, and what became of them.
 */
#pragma once

#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

/** One request of a load. */
struct sent_request {
    std::string id_;
    std::string label_;
    clock::time_point sent_;
    response answer_;
};

/** Sends requests and keeps their answers. */
class load {
  public:
    explicit load(record& record) : record_(record) {}
    load(const load&) = delete;
    auto operator=(const load&) -> load& = delete;
    load(load&&) = delete;
    auto operator=(load&&) -> load& = delete;
    ~load() { wait(); }

    /** Sends \p what with a fresh id to \p to, without waiting for the answer. */
    void send(const std::string& label, const address& to, request what, milliseconds patience);

    /** Calls \p step \p per_second times a second for \p time. */
    static void repeat(double per_second, milliseconds time, const std::function<void()>& step);

    /** Waits until every request has ended. */
    void wait();

    /** Returns the requests that were sent from \p from until \p to and have ended. */
    [[nodiscard]] auto between(const std::string& label, clock::time_point from,
                               clock::time_point to) -> std::vector<sent_request>;

  private:
    record& record_;
    std::mutex mutex_;
    std::vector<sent_request> ended_;
    std::list<std::thread> threads_;
};

/** Returns how many of \p requests were answered with success, whole and signed. */
[[nodiscard]] auto count_served(const std::vector<sent_request>& requests) -> std::size_t;

/** Returns how often each status or other end occurs among \p requests. */
[[nodiscard]] auto describe_ends(const std::vector<sent_request>& requests) -> std::string;

} // namespace review
