// Simulates callers, nodes, a relay, a control group and targets in virtual time, with message loss
// and delay, restarts of nodes and the relay, failover of the control group, crashes of targets,
// and retries at random nodes. Checks that no key is executed twice, that no attempt reported as
// "not run" is ever executed, and that a stored answer belongs to the caller's key.
//
// To replay one seed: SYCAMOREWINCH_SEEDS=1 SYCAMOREWINCH_FROM_SEED=N run_record_test
//                  --run_test=no_request_is_executed_twice

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <memory>
#include <optional>

#include "run_record/run_client.h"
#include "run_record/run_forwarder.h"
#include "run_record/run_records.h"

using namespace sycamorewinch;

namespace {

/** A violation of the protocol that the simulation commits, to show that the checks detect it. A
 * late grant arrives after the caller was told that the attempt did not run. */
enum class simulated_bug {
    none,
    uses_late_grants,
    releases_failed_attempts,
    loses_state_on_failover
};

constexpr std::size_t node_count = 4;
constexpr std::size_t key_count = 60;
constexpr duration run_length = std::chrono::seconds(60);

/** One simulation, determined by its seed. */
class failure_simulation {
  public:
    failure_simulation(std::uint64_t seed, simulated_bug bug)
        : random_(seeded_random(seed)), bug_(bug)
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            start_node(index);
        }
    }

    auto run() -> std::optional<std::string>
    {
        for (std::size_t key = 0; key < key_count; ++key) {
            schedule(uniform_between(random_, duration(0), run_length / 2),
                     [this, key] { send_call(key); });
        }
        schedule_failures();
        tick_all();
        while (!events_.empty() && !violation_) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return violation_;
    }

    [[nodiscard]] auto executed_keys() const -> std::size_t { return executions_.size(); }
    [[nodiscard]] auto answers() const -> std::size_t { return answers_; }
    [[nodiscard]] auto refusals() const -> std::size_t { return refusals_; }

  private:
    struct node {
        std::unique_ptr<run_client> client_;
        std::uint64_t incarnation_ = 0;
    };

    void schedule(duration wait, std::function<void()> action)
    {
        events_.emplace(now_ + wait, std::move(action));
    }
    auto chance(double probability) -> bool { return uniform_unit(random_) < probability; }
    auto delay() -> duration
    {
        const bool is_slow = chance(0.02);
        return uniform_between(random_, std::chrono::milliseconds(1),
                               std::chrono::milliseconds(is_slow ? 4'000 : 30));
    }
    /** Delivers a message after a random delay, or loses it. */
    void deliver(std::function<void()> action)
    {
        if (!chance(0.05)) {
            schedule(delay(), std::move(action));
        }
    }

    void start_node(std::size_t index)
    {
        auto& started = nodes_[index];
        ++started.incarnation_;
        started.client_ = std::make_unique<run_client>(run_client_options{
            .node_ = std::to_string(index), .incarnation_ = started.incarnation_});
        started.client_->on_connected(now_);
    }

    void schedule_failures()
    {
        for (int count = 0; count < 12; ++count) {
            const auto when = uniform_between(random_, duration(0), run_length);
            const auto index = uniform_below(random_, node_count);
            schedule(when, [this, index, kind = uniform_below(random_, 4)] {
                switch (kind) {
                case 0:
                    start_node(index);
                    break;
                case 1:
                    nodes_[index].client_->on_disconnected(now_);
                    schedule(delay(), [this, index] { nodes_[index].client_->on_connected(now_); });
                    break;
                case 2:
                    relay_ = run_forwarder();
                    break;
                default:
                    fail_over();
                }
            });
        }
    }

    // Committed state survives; results of the earlier term in flight are dropped (see commit).
    void fail_over()
    {
        ++term_;
        records_ = bug_ == simulated_bug::loses_state_on_failover
                       ? run_records()
                       : *run_records::decode(records_.encode());
    }

    void tick_all()
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            nodes_[index].client_->tick(now_);
            send_operations(index);
        }
        relay_.tick(now_);
        send_results();
        if (now_ < instant(run_length * 2)) {
            schedule(std::chrono::milliseconds(50), [this] { tick_all(); });
        }
    }

    void send_operations(std::size_t index)
    {
        auto operations = nodes_[index].client_->take_output();
        if (operations.empty()) {
            return;
        }
        deliver([this, index, operations = std::move(operations)] {
            relay_.on_operations(index, operations, now_);
            auto batch = relay_.take_operations();
            deliver([this, batch = std::move(batch)] { commit(batch); });
        });
    }

    void commit(const std::vector<run_operation>& operations)
    {
        const auto time = static_cast<std::uint64_t>(to_milliseconds(now_.time_since_epoch()));
        auto results = records_.apply({time, operations});
        deliver([this, term = term_, results = std::move(results)] {
            if (term == term_) {
                relay_.on_results(results);
                send_results();
            }
        });
    }

    void send_results()
    {
        for (auto& [index, results] : relay_.take_results()) {
            deliver([this, index = index, results = results] {
                nodes_[index].client_->on_results(results, now_);
                use_late_grants(index, results);
                send_operations(index);
            });
        }
    }

    void use_late_grants(std::size_t index, const std::vector<run_result>& results)
    {
        for (const auto& result : results) {
            if (bug_ == simulated_bug::uses_late_grants &&
                result.verdict_ == run_verdict::granted && refused_.contains(result.attempt_)) {
                send_to_target(index, refused_.at(result.attempt_));
            }
        }
    }

    /** Sends a caller's request to a random node; may schedule a retry at a random node. */
    void send_call(std::size_t key)
    {
        const auto index = uniform_below(random_, node_count);
        run_operation operation;
        operation.key_ = make_run_key("dialer", "desk", std::to_string(key));
        operation.attempt_ = random_attempt_id(random_);
        const auto incarnation = nodes_[index].incarnation_;
        nodes_[index].client_->reserve(
            operation,
            [this, index, incarnation, key, operation](const run_result& result) {
                if (nodes_[index].incarnation_ == incarnation) {
                    on_reservation_result(index, key, operation, result);
                }
            },
            now_);
        send_operations(index);
        // Usually the caller retries without waiting for the answer.
        if (now_ < instant(run_length) && chance(0.7)) {
            schedule(
                uniform_between(random_, std::chrono::milliseconds(5), std::chrono::seconds(3)),
                [this, key] { send_call(key); });
        }
    }

    void on_reservation_result(std::size_t index, std::size_t key, const run_operation& operation,
                               const run_result& result)
    {
        if (result.verdict_ == run_verdict::granted) {
            start_attempt(index, operation);
        }
        else if (result.verdict_ == run_verdict::finished) {
            ++answers_;
            if (result.outcome_ != std::to_string(hash_of(to_hex(operation.key_.digest_)))) {
                violation_ = "key " + std::to_string(key) + " got the answer of another key";
            }
        }
        else if (result.verdict_ == run_verdict::unreachable) { // no quorum answered in time
            ++refusals_;
            refused_[operation.attempt_] = operation; // the caller is told that it did not run
            check_refused_attempt(operation);
        }
    }

    void start_attempt(std::size_t index, run_operation operation)
    {
        if (chance(0.1)) { // the node cannot connect to the target
            refused_[operation.attempt_] = operation;
            operation.kind_ = run_operation_kind::release;
            nodes_[index].client_->end(operation, now_);
            send_operations(index);
            return;
        }
        send_to_target(index, operation);
    }

    void send_to_target(std::size_t index, const run_operation& operation)
    {
        const auto incarnation = nodes_[index].incarnation_;
        schedule(delay(), [this, index, incarnation, operation] {
            if (!chance(0.1)) { // otherwise the target crashes before it runs the request
                execute_at_target(operation);
            }
            schedule(delay(), [this, index, incarnation, operation] {
                if (nodes_[index].incarnation_ == incarnation) {
                    report_outcome(index, operation);
                }
            });
        });
    }

    void report_outcome(std::size_t index, run_operation operation)
    {
        // No target has executed the key, or the answer is lost on the way back.
        const bool is_answer_lost = !executions_.contains(operation.key_) || chance(0.1);
        operation.kind_ = is_answer_lost ? run_operation_kind::lose : run_operation_kind::finish;
        if (is_answer_lost && bug_ == simulated_bug::releases_failed_attempts) {
            operation.kind_ = run_operation_kind::release;
        }
        operation.outcome_ =
            is_answer_lost ? "" : std::to_string(hash_of(to_hex(operation.key_.digest_)));
        nodes_[index].client_->end(operation, now_);
        send_operations(index);
    }

    void execute_at_target(const run_operation& operation)
    {
        if (++executions_[operation.key_] > 1) {
            violation_ =
                "a key was executed twice, at " + std::to_string(now_.time_since_epoch().count());
        }
        executed_attempts_[operation.attempt_] = true;
        check_refused_attempt(operation);
    }

    void check_refused_attempt(const run_operation& operation)
    {
        if (refused_.contains(operation.attempt_) &&
            executed_attempts_.contains(operation.attempt_)) {
            violation_ = "an attempt refused as not run was executed";
        }
    }

    random_hook random_;
    simulated_bug bug_;
    instant now_;
    std::multimap<instant, std::function<void()>> events_;
    std::map<std::size_t, node> nodes_;
    run_forwarder relay_;
    run_records records_;
    std::uint64_t term_ = 1;
    std::map<run_key, unsigned> executions_; ///< How often the targets executed each key.
    std::map<digest, bool> executed_attempts_;
    std::map<digest, run_operation>
        refused_; ///< Attempts that the node reports to the caller as not run.
    std::size_t answers_ = 0;
    std::size_t refusals_ = 0;
    std::optional<std::string> violation_;
};

auto environment_number(const char* variable, std::uint64_t default_value) -> std::uint64_t
{
    const auto* text = std::getenv(variable);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/** Returns how many of \p seeds simulations, from seed \p from, end with a violation. */
auto count_failing_seeds(simulated_bug bug, std::uint64_t from, std::uint64_t seeds)
    -> std::uint64_t
{
    std::uint64_t failing = 0;
    for (auto seed = from; seed < from + seeds; ++seed) {
        failing += failure_simulation(seed, bug).run() ? 1U : 0U;
    }
    return failing;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_request_is_executed_twice)
{
    const auto from = environment_number("SYCAMOREWINCH_FROM_SEED", 1);
    const auto seeds = environment_number("SYCAMOREWINCH_SEEDS", 100);
    std::size_t executed_keys = 0;
    std::size_t answers = 0;
    std::size_t refusals = 0;
    for (auto seed = from; seed < from + seeds; ++seed) {
        failure_simulation simulation(seed, simulated_bug::none);
        const auto violation = simulation.run();
        BOOST_TEST(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
        executed_keys += simulation.executed_keys();
        answers += simulation.answers();
        refusals += simulation.refusals();
    }
    BOOST_TEST_MESSAGE("executed keys " << executed_keys << ", stored answers " << answers
                                        << ", refused as not run " << refusals);
    BOOST_TEST(executed_keys > 0U);
    BOOST_TEST(answers > 0U);
    BOOST_TEST(refusals > 0U);
}

BOOST_AUTO_TEST_CASE(each_simulated_bug_is_detected)
{
    constexpr std::uint64_t seeds = 20;
    BOOST_TEST(count_failing_seeds(simulated_bug::uses_late_grants, 1, seeds) > 0U);
    BOOST_TEST(count_failing_seeds(simulated_bug::releases_failed_attempts, 1, seeds) > 0U);
    BOOST_TEST(count_failing_seeds(simulated_bug::loses_state_on_failover, 1, seeds) > 0U);
}
