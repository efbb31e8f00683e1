// Callers, nodes, a relay, a control group and targets under virtual time, with loss, delay,
// crashes of each and resends to other nodes. The targets count what they ran; callers compare.
//
// Replay one seed: SYCAMOREWINCH_SEEDS=1 SYCAMOREWINCH_FROM_SEED=N run_record_test
//                  --run_test=no_key_runs_twice_whatever_fails

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <memory>
#include <optional>

#include "run_record/run_client.h"
#include "run_record/run_forwarder.h"
#include "run_record/run_records.h"

using namespace sycamorewinch;

namespace {

/** A deliberate fault, to show that the checks notice it. */
enum class fault { none, uses_late_grants, releases_broken_attempts, forgets_on_failover };

constexpr std::size_t node_count = 4;
constexpr std::size_t key_count = 60;
constexpr duration run_length = std::chrono::seconds(60);

/** One whole run. */
class failure_run {
  public:
    failure_run(std::uint64_t seed, fault fault) : random_(seeded_random(seed)), fault_(fault)
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            start_node(index);
        }
    }

    auto run() -> std::optional<std::string>
    {
        for (std::size_t key = 0; key < key_count; ++key) {
            after(uniform_between(random_, duration(0), run_length / 2),
                  [this, key] { call(key); });
        }
        schedule_faults();
        every_tick();
        while (!events_.empty() && !problem_) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return problem_;
    }

    [[nodiscard]] auto runs() const -> std::size_t { return ran_.size(); }
    [[nodiscard]] auto answers() const -> std::size_t { return answers_; }
    [[nodiscard]] auto refusals() const -> std::size_t { return refusals_; }

  private:
    struct node {
        std::unique_ptr<run_client> client_;
        std::uint64_t incarnation_ = 0;
    };

    void after(duration wait, std::function<void()> action)
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
    /** Delivers by chance, late by chance. */
    void deliver(std::function<void()> action)
    {
        if (!chance(0.05)) {
            after(delay(), std::move(action));
        }
    }

    void start_node(std::size_t index)
    {
        auto& one = nodes_[index];
        ++one.incarnation_;
        one.client_ = std::make_unique<run_client>(
            run_client_options{.node_ = std::to_string(index), .incarnation_ = one.incarnation_});
        one.client_->on_connected(now_);
    }

    void schedule_faults()
    {
        for (int count = 0; count < 12; ++count) {
            const auto when = uniform_between(random_, duration(0), run_length);
            const auto index = uniform_below(random_, node_count);
            after(when, [this, index, kind = uniform_below(random_, 4)] {
                switch (kind) {
                case 0:
                    start_node(index);
                    break;
                case 1:
                    nodes_[index].client_->on_disconnected(now_);
                    after(delay(), [this, index] { nodes_[index].client_->on_connected(now_); });
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

    // What was committed survives; answers on their way do not.
    void fail_over()
    {
        ++term_;
        records_ = fault_ == fault::forgets_on_failover ? run_records()
                                                        : *run_records::decode(records_.encode());
    }

    void every_tick()
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            nodes_[index].client_->tick(now_);
            send_up(index);
        }
        relay_.tick(now_);
        send_down();
        if (now_ < instant(run_length * 2)) {
            after(std::chrono::milliseconds(50), [this] { every_tick(); });
        }
    }

    void send_up(std::size_t index)
    {
        auto operations = nodes_[index].client_->take_output();
        if (operations.empty()) {
            return;
        }
        deliver([this, index, operations = std::move(operations)] {
            relay_.on_operations(index, operations, now_);
            auto batch = relay_.take_upward();
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
                send_down();
            }
        });
    }

    void send_down()
    {
        for (auto& [index, results] : relay_.take_downward()) {
            deliver([this, index = index, results = results] {
                nodes_[index].client_->on_results(results, now_);
                use_late_grants(index, results);
                send_up(index);
            });
        }
    }

    void use_late_grants(std::size_t index, const std::vector<run_result>& results)
    {
        for (const auto& result : results) {
            if (fault_ == fault::uses_late_grants && result.verdict_ == run_verdict::granted &&
                refused_.contains(result.attempt_)) {
                run_at_target(index, refused_.at(result.attempt_));
            }
        }
    }

    /** A caller sends its key to a node, and again elsewhere until it has a final answer. */
    void call(std::size_t key)
    {
        const auto index = uniform_below(random_, node_count);
        run_operation operation;
        operation.key_ = make_run_key("dialer", "desk", std::to_string(key));
        operation.attempt_ = new_attempt(random_);
        const auto incarnation = nodes_[index].incarnation_;
        nodes_[index].client_->reserve(
            operation,
            [this, index, incarnation, key, operation](const run_result& result) {
                if (nodes_[index].incarnation_ == incarnation) {
                    on_verdict(index, key, operation, result);
                }
            },
            now_);
        send_up(index);
        if (now_ < instant(run_length) && chance(0.7)) { // an impatient caller
            after(uniform_between(random_, std::chrono::milliseconds(5), std::chrono::seconds(3)),
                  [this, key] { call(key); });
        }
    }

    void on_verdict(std::size_t index, std::size_t key, const run_operation& operation,
                    const run_result& result)
    {
        if (result.verdict_ == run_verdict::granted) {
            start_attempt(index, operation);
        }
        else if (result.verdict_ == run_verdict::finished) {
            ++answers_;
            if (result.outcome_ != std::to_string(hash_of(to_hex(operation.key_.digest_)))) {
                problem_ = "key " + std::to_string(key) + " got another's answer";
            }
        }
        else if (result.verdict_ == run_verdict::unreachable) {
            ++refusals_;
            refused_[operation.attempt_] = operation; // told: not run
            check_refused(operation);
        }
    }

    void start_attempt(std::size_t index, run_operation operation)
    {
        if (chance(0.1)) { // the target cannot be reached
            refused_[operation.attempt_] = operation;
            operation.kind_ = run_operation_kind::release;
            nodes_[index].client_->end(operation, now_);
            send_up(index);
            return;
        }
        run_at_target(index, operation);
    }

    void run_at_target(std::size_t index, const run_operation& operation)
    {
        const auto incarnation = nodes_[index].incarnation_;
        after(delay(), [this, index, incarnation, operation] {
            if (!chance(0.1)) { // else the target crashes before it runs the request
                target_runs(operation);
            }
            after(delay(), [this, index, incarnation, operation] {
                if (nodes_[index].incarnation_ == incarnation) {
                    report(index, operation);
                }
            });
        });
    }

    void report(std::size_t index, run_operation operation)
    {
        const bool is_broken = !ran_.contains(operation.key_) || chance(0.1);
        operation.kind_ = is_broken ? run_operation_kind::lose : run_operation_kind::finish;
        if (is_broken && fault_ == fault::releases_broken_attempts) {
            operation.kind_ = run_operation_kind::release;
        }
        operation.outcome_ =
            is_broken ? "" : std::to_string(hash_of(to_hex(operation.key_.digest_)));
        nodes_[index].client_->end(operation, now_);
        send_up(index);
    }

    void target_runs(const run_operation& operation)
    {
        if (++ran_[operation.key_] > 1) {
            problem_ = "a key ran twice, at " + std::to_string(now_.time_since_epoch().count());
        }
        ran_attempts_[operation.attempt_] = true;
        check_refused(operation);
    }

    void check_refused(const run_operation& operation)
    {
        if (refused_.contains(operation.attempt_) && ran_attempts_.contains(operation.attempt_)) {
            problem_ = "an attempt refused as not run has run";
        }
    }

    random_hook random_;
    fault fault_;
    instant now_;
    std::multimap<instant, std::function<void()>> events_;
    std::map<std::size_t, node> nodes_;
    run_forwarder relay_;
    run_records records_;
    std::uint64_t term_ = 1;
    std::map<run_key, unsigned> ran_; ///< What the targets counted.
    std::map<digest, bool> ran_attempts_;
    std::map<digest, run_operation> refused_; ///< Attempts whose caller was told: not run.
    std::size_t answers_ = 0;
    std::size_t refusals_ = 0;
    std::optional<std::string> problem_;
};

auto number_from(const char* variable, std::uint64_t otherwise) -> std::uint64_t
{
    const auto* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/** Returns how many of \p seeds find a problem. */
auto failing_seeds(fault fault, std::uint64_t from, std::uint64_t seeds) -> std::uint64_t
{
    std::uint64_t failing = 0;
    for (auto seed = from; seed < from + seeds; ++seed) {
        failing += failure_run(seed, fault).run() ? 1U : 0U;
    }
    return failing;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_key_runs_twice_whatever_fails)
{
    const auto from = number_from("SYCAMOREWINCH_FROM_SEED", 1);
    const auto seeds = number_from("SYCAMOREWINCH_SEEDS", 100);
    std::size_t runs = 0;
    std::size_t answers = 0;
    std::size_t refusals = 0;
    for (auto seed = from; seed < from + seeds; ++seed) {
        failure_run one(seed, fault::none);
        const auto problem = one.run();
        BOOST_TEST(!problem.has_value(), "seed " << seed << ": " << problem.value_or(""));
        runs += one.runs();
        answers += one.answers();
        refusals += one.refusals();
    }
    BOOST_TEST_MESSAGE("runs " << runs << ", stored answers " << answers << ", refused as not run "
                               << refusals);
    BOOST_TEST(runs > 0U);
    BOOST_TEST(answers > 0U);
    BOOST_TEST(refusals > 0U);
}

BOOST_AUTO_TEST_CASE(each_deliberate_fault_is_noticed)
{
    constexpr std::uint64_t seeds = 20;
    BOOST_TEST(failing_seeds(fault::uses_late_grants, 1, seeds) > 0U);
    BOOST_TEST(failing_seeds(fault::releases_broken_attempts, 1, seeds) > 0U);
    BOOST_TEST(failing_seeds(fault::forgets_on_failover, 1, seeds) > 0U);
}
