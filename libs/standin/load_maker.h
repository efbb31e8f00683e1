/** \file
 * A maker of load, for tests, the demo and the bench alone: keeps a number of calls in flight, or
 * starts them at a rate, and counts the answers.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http1/http1_client_connection.h"
#include "transport/peer_connection.h"

namespace sycamorewinch {

/** What became of one call, for comparing with what the targets ran. */
struct call_record {
    std::string key_;     ///< Its idempotency key.
    unsigned status_ = 0; ///< 0: no whole answer.
    std::string refusal_; ///< Empty: answered by a target.
    std::string outcome_; ///< Of a refusal: `not-run` or `unknown`.
    std::string body_;    ///< Of the answer.
};

/** What load to make. */
struct load_options {
    std::vector<peer_address> nodes_; ///< Called in turn.
    std::string method_ = "GET";
    std::string path_ = "/";
    std::string caller_;
    std::uint64_t calls_ = 100;
    unsigned concurrency_ = 1;
    double per_second_ = 0;        ///< Above 0: starts calls at this rate.
    std::string key_prefix_;       ///< Given: each call has the idempotency key PREFIX-NUMBER.
    bool has_key_in_path_ = false; ///< The key is a further part of each call's path.
    /** Is told the key of each call as it begins. */
    std::function<void(const std::string& key)> on_begin_;
    /** Is told of each call as it ends. */
    std::function<void(const call_record& record)> on_call_;
};

/** What came of it. */
struct load_outcome {
    std::map<unsigned, std::uint64_t> by_status_; ///< HTTP status; 0 for a broken answer.
    std::uint64_t not_sent_ = 0; ///< Of the broken: no byte of the request was sent.
    std::map<std::string, std::uint64_t> by_refusal_; ///< Refusal reason.
    std::map<std::string, std::uint64_t> by_target_;  ///< Who answered.
    std::vector<double> seconds_;                     ///< Latency of each answered call.
};

/** Makes load and calls \p done once. Keep the returned object until then. */
[[nodiscard]] auto make_load(const load_options& options,
                             std::function<void(const load_outcome& outcome)> done)
    -> std::shared_ptr<void>;

/** Returns the given quantile of \p seconds. */
[[nodiscard]] auto quantile_of(std::vector<double> seconds, double fraction) -> double;

} // namespace sycamorewinch
