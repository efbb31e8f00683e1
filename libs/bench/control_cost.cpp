#include "bench/control_cost.h"

#include <map>

#include <fmt/core.h>

#include "base/invariant.h"
#include "bench/cost_meter.h"
#include "bench/sample_table.h"
#include "consensus/raft_message.h"
#include "control/control_replica.h"

namespace sycamorewinch {

namespace {

constexpr double microseconds_per_second = 1e6;
constexpr std::uint64_t table_services = 3'800;
constexpr std::uint64_t accepts_measured = 20;
constexpr auto time_step = std::chrono::milliseconds(5);

/** Resources used by one replica. */
struct replica_cost {
    double cpu_seconds_ = 0;
    std::uint64_t log_bytes_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t message_bytes_ = 0;
};

/** A group of replicas on a network without loss or delay. Messages are encoded and decoded as on
 * the wire. */
class replica_group {
  public:
    explicit replica_group(std::uint64_t replicas)
    {
        std::vector<std::string> names;
        for (std::uint64_t number = 0; number < replicas; ++number) {
            names.push_back(fmt::format("control-{}", number));
        }
        for (const auto& name : names) {
            raft_options options{.self_ = name, .voters_ = names};
            options.random_ = seeded_random(names.size() + replicas_.size());
            replicas_.emplace(name,
                              control_replica::create(options, {}, make_hooks(name), now_).value());
        }
        run_until([this] { return find_leader() != nullptr; });
    }

    /** Accepts \p rows as the first version. */
    void accept_initial_table(const std::vector<row>& rows)
    {
        accept({"first", "bench", leader().state().current()->version_, {rows, {}}});
    }

    /** Accepts a change of one cell. */
    void accept_one_cell_change(std::uint64_t number)
    {
        const auto& current = *leader().state().current();
        auto changed = current.rows_[number % current.rows_.size()];
        ++changed.default_limit_.requests_per_second_;
        accept({fmt::format("edit-{}", number), "bench", current.version_, {{changed}, {}}});
    }

    void reset_costs() { costs_.clear(); }
    [[nodiscard]] auto leader_cost() -> const replica_cost& { return costs_[leader_name()]; }
    [[nodiscard]] auto follower_cost() -> const replica_cost&
    {
        for (const auto& [name, replica] : replicas_) {
            if (name != leader_name()) {
                return costs_[name];
            }
        }
        return costs_[leader_name()];
    }

  private:
    auto make_hooks(const std::string& name) -> control_hooks
    {
        control_hooks hooks;
        hooks.save_vote_ = [](const auto&) {
            return result<void>();
        };
        hooks.truncate_after_ = [](auto) {
            return result<void>();
        };
        hooks.append_ = [this, name](const std::vector<log_entry>& entries) {
            for (const auto& entry : entries) {
                costs_[name].log_bytes_ += entry.payload_.size();
            }
            return result<void>();
        };
        hooks.send_ = [this, name](const raft_message& message) {
            auto bytes = encode_message(message);
            ++costs_[name].messages_;
            costs_[name].message_bytes_ += bytes.size();
            in_flight_.emplace_back(message.to_, std::move(bytes));
        };
        hooks.on_table_ = [](const auto&) {
        };
        hooks.on_disk_failure_ = [](const auto&) {
        };
        return hooks;
    }

    void deliver()
    {
        while (!in_flight_.empty()) {
            const auto messages = std::move(in_flight_);
            in_flight_.clear();
            for (const auto& message : messages) {
                const auto& to = message.first;
                const auto& bytes = message.second;
                auto& replica = replicas_.at(to);
                costs_[to].cpu_seconds_ += cpu_seconds_of(
                    [&] { replica.receive(decode_raft_message(bytes).value(), now_); });
            }
        }
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        constexpr int max_steps = 10'000;
        for (int steps = 0; steps < max_steps && !condition(); ++steps) {
            now_ += time_step;
            for (auto& [name, replica] : replicas_) {
                replica.tick(now_);
            }
            deliver();
        }
        invariant(condition(),
                  "the group of {} replicas did not reach the expected state within the step limit",
                  replicas_.size());
    }

    void accept(const accept_command& command)
    {
        bool done = false;
        auto& replica = leader();
        costs_[leader_name()].cpu_seconds_ += cpu_seconds_of([&] {
            replica.accept(
                command, [&done](const auto& accepted) { done = accepted.has_value(); }, now_);
        });
        deliver();
        run_until([&done] { return done; });
    }

    auto find_leader() -> control_replica*
    {
        for (auto& [name, replica] : replicas_) {
            if (replica.raft_state().role() == raft_role::leader) {
                return &replica;
            }
        }
        return nullptr;
    }

    auto leader() -> control_replica& { return *find_leader(); }
    auto leader_name() -> std::string { return leader().raft_state().options().self_; }

    instant now_{};
    std::map<std::string, control_replica> replicas_;
    std::vector<std::pair<std::string, std::string>> in_flight_;
    std::map<std::string, replica_cost> costs_;
};

/** Accepts one-cell changes and returns the mean of the cost that \p read extracts. */
auto measure_cost_per_accept(std::uint64_t replicas, std::uint64_t services,
                             const std::function<double(replica_group&)>& read) -> double
{
    replica_group group(replicas);
    group.accept_initial_table(sample_rows(services));
    group.reset_costs();
    for (std::uint64_t number = 0; number < accepts_measured; ++number) {
        group.accept_one_cell_change(number);
    }
    return read(group) / static_cast<double>(accepts_measured);
}

} // namespace

auto measure_control(const run_settings& settings) -> std::vector<series>
{
    const std::vector<std::uint64_t> replicas{3, 5, 7};
    const std::vector<std::uint64_t> services{475, 950, 1'900, 3'800};
    const auto leader_cpu = [](replica_group& group) {
        return group.leader_cost().cpu_seconds_ * microseconds_per_second;
    };
    const auto follower_cpu = [](replica_group& group) {
        return group.follower_cost().cpu_seconds_ * microseconds_per_second;
    };
    const auto leader_bytes = [](replica_group& group) {
        return static_cast<double>(group.leader_cost().message_bytes_);
    };
    const auto log_bytes = [](replica_group& group) {
        return static_cast<double>(group.leader_cost().log_bytes_);
    };
    return {
        measure_series(
            {"leader_cpu_per_accept", "replicas", "us", false, {}}, replicas, settings,
            [&](auto size) { return measure_cost_per_accept(size, table_services, leader_cpu); }),
        measure_series({"leader_cpu_by_services", "services", "us", false, {}}, services, settings,
                       [&](auto size) { return measure_cost_per_accept(3, size, leader_cpu); }),
        measure_series({"follower_cpu_by_services", "services", "us", false, {}}, services,
                       settings,
                       [&](auto size) { return measure_cost_per_accept(3, size, follower_cpu); }),
        measure_series({"leader_bytes_per_accept", "replicas", "bytes", true, {}}, replicas,
                       settings,
                       [&](auto size) { return measure_cost_per_accept(size, 100, leader_bytes); }),
        measure_series({"log_bytes_per_accept", "services", "bytes", true, {}}, services, settings,
                       [&](auto size) { return measure_cost_per_accept(3, size, log_bytes); }),
    };
}

} // namespace sycamorewinch
