/** \file
 * A load generator for tests, the demo and benchmarks only. Keeps a number of calls in flight, or
 * starts calls at a given rate, and counts the responses.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "http1/http1_client_connection.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** The result of one call, for comparison with what the targets ran. */
struct call_record {
    std::string key_;      ///< Idempotency key.
    std::size_t node_ = 0; ///< Index of the node called.
    unsigned status_ = 0;  ///< 0: no complete response.
    std::string refusal_;  ///< Refusal reason; empty: answered by a target.
    std::string outcome_;  ///< Of a refusal: `not-run` or `unknown`.
    std::string body_;     ///< Body of the response.
    /** From before the request was sent until the head of the response; 0: no response. */
    duration response_time_{0};
};

/** Parameters of a load run. */
struct load_options {
    std::vector<peer_address> nodes_; ///< Called round robin.
    std::string method_ = "GET";
    std::string path_ = "/";
    std::string caller_;
    std::uint64_t calls_ = 100;
    unsigned concurrency_ = 1; ///< Calls in flight if per_second_ is 0.
    double per_second_ = 0;    ///< Above 0: starts calls at this rate, whatever is in flight.
    std::string key_prefix_;   ///< If set, each call has the idempotency key PREFIX-NUMBER.
    bool append_key_to_path_ = false; ///< Appends `/KEY` to the path of each call.
    /** Called for each call when it starts, with its key and node. */
    std::function<void(const call_record& record)> on_call_started_;
    /** Called for each call when it ends. */
    std::function<void(const call_record& record)> on_call_;
};

/** Result of a load run. */
struct load_result {
    std::map<unsigned, std::uint64_t> by_status_; ///< By HTTP status; 0: no complete response.
    std::uint64_t not_sent_ = 0;                  ///< Those of status 0 of which no byte was sent.
    std::map<std::string, std::uint64_t> by_refusal_; ///< By refusal reason.
    std::map<std::string, std::uint64_t> by_target_;  ///< By responding target.
    std::vector<double> seconds_;                     ///< Latency of each answered call.
};

/** Starts a load run and calls \p on_done once at its end. Keep the returned object until then. */
[[nodiscard]] auto generate_load(const load_options& options,
                                 std::function<void(const load_result& outcome)> on_done)
    -> std::shared_ptr<void>;

/** Returns the quantile \p fraction (0 to 1) of \p seconds; 0 if empty. */
[[nodiscard]] auto quantile_of(std::vector<double> seconds, double fraction) -> double;

} // namespace sycamorewinch
