// Measures the cost of an accepted edit with files on disk: SYCAMOREWINCH_EDITS=500 control_test
// --run_test='accept_cost*' --log_level=message
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <unistd.h>

#include <fmt/core.h>

#include "control/control_replica.h"
#include "storage/replica_store.h"

using namespace sycamorewinch;

namespace {

constexpr std::size_t table_rows = 3800;

/** Three replicas in one process, each with its own data folder; messages are delivered at once. */
struct file_group {
    struct member {
        std::optional<replica_store> store_;
        std::unique_ptr<control_replica> replica_;
    };

    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / fmt::format("sycamorewinch-cost-{}", ::getpid());
    std::map<std::string, member> members_;
    std::vector<raft_message> messages_;
    std::uint64_t message_count_ = 0;
    std::uint64_t message_bytes_ = 0;
    instant now_{};

    file_group()
    {
        std::filesystem::remove_all(folder_);
        for (const auto* name : {"a", "b", "c"}) {
            start(name, members_[name]);
        }
        for (int tick = 0; tick < 200; ++tick) {
            advance(std::chrono::milliseconds(10));
        }
    }
    file_group(const file_group&) = delete;
    auto operator=(const file_group&) -> file_group& = delete;
    file_group(file_group&&) = delete;
    auto operator=(file_group&&) -> file_group& = delete;
    ~file_group() { std::filesystem::remove_all(folder_); }

    void start(const std::string& name, member& member)
    {
        auto files = open_file_system((folder_ / name).string()).value();
        member.store_.emplace(replica_store::open(files).value());
        control_hooks hooks;
        auto& store = *member.store_;
        hooks.save_vote_ = [&store](const auto& vote) {
            return store.save_vote(vote);
        };
        hooks.truncate_after_ = [&store](auto index) {
            return store.truncate_after(index);
        };
        hooks.append_ = [&store](const auto& entries) {
            return store.append(entries);
        };
        hooks.save_snapshot_ = [&store](const auto& snapshot, const auto& entries) {
            return store.save_snapshot(snapshot, entries);
        };
        hooks.send_ = [this](const auto& message) {
            messages_.push_back(message);
        };
        hooks.on_table_ = [](const auto&) {
        };
        hooks.on_disk_failure_ = [](const auto&) {
        };
        hooks.request_flush_ = [] {
        };
        raft_options options{.self_ = name, .voters_ = {"a", "b", "c"}};
        options.random_ = seeded_random(static_cast<std::uint64_t>(name.front()));
        member.replica_ = std::make_unique<control_replica>(
            control_replica::create(options, store.take_recovered(), hooks, now_).value());
    }

    void advance(duration elapsed)
    {
        now_ += elapsed;
        for (auto& [name, member] : members_) {
            member.replica_->tick(now_);
        }
        deliver_all();
    }

    void deliver_all()
    {
        do {
            for (const auto& message : std::exchange(messages_, {})) {
                ++message_count_;
                message_bytes_ += encode_message(message).size();
                members_.at(message.to_).replica_->receive(message, now_);
            }
            for (auto& [name, member] : members_) {
                member.replica_->flush();
            }
        } while (!messages_.empty());
    }

    auto leader() -> control_replica&
    {
        for (auto& [name, member] : members_) {
            if (member.replica_->raft_state().role() == raft_role::leader) {
                return *member.replica_;
            }
        }
        throw std::runtime_error("there is no leader");
    }
};

auto make_row(std::size_t service, std::size_t value) -> row
{
    row new_row{.service_ = fmt::format("service-{}", service),
                .path_prefix_ = fmt::format("/service-{}", service)};
    new_row.timeout_ = std::chrono::milliseconds(1 + value);
    return new_row;
}

auto edits_to_make() -> std::size_t
{
    const auto* text = std::getenv("SYCAMOREWINCH_EDITS");
    return text == nullptr ? 20 : std::strtoull(text, nullptr, 10);
}

auto elapsed_seconds(std::chrono::steady_clock::time_point start) -> double
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

} // namespace

BOOST_AUTO_TEST_CASE(accept_cost_at_3800_rows)
{
    file_group group;
    accept_command first{"first", "ann", group.leader().state().current()->version_, {}};
    for (std::size_t service = 0; service < table_rows; ++service) {
        first.change_.upserts_.push_back(make_row(service, 0));
    }
    group.leader().accept(
        first, [](const auto&) {}, group.now_);
    group.deliver_all();
    BOOST_REQUIRE(group.leader().state().current()->rows_.size() == table_rows);

    const auto edits = edits_to_make();
    const auto messages = group.message_count_;
    const auto bytes = group.message_bytes_;
    const auto log_bytes = group.members_.begin()->second.store_->log_bytes();
    std::size_t accepted = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t number = 1; number <= edits; ++number) {
        auto& leader = group.leader();
        leader.accept(
            {fmt::format("edit-{}", number),
             "ann",
             leader.state().current()->version_,
             {{make_row(number % table_rows, number)}, {}}},
            [&](const auto& outcome) {
                accepted += outcome && outcome->status_ == accept_status::accepted;
            },
            group.now_);
        group.deliver_all();
    }
    const auto seconds = elapsed_seconds(start);
    BOOST_TEST(accepted == edits);
    const auto grown = group.members_.begin()->second.store_->log_bytes() - log_bytes;
    const auto count = static_cast<double>(edits);
    BOOST_TEST_MESSAGE(fmt::format(
        "sequential edits: {:.0f} accepts/s; {:.1f} messages, {:.0f} bytes and {:.0f} bytes of "
        "log for each",
        count / seconds, static_cast<double>(group.message_count_ - messages) / count,
        static_cast<double>(group.message_bytes_ - bytes) / count,
        static_cast<double>(grown) / count));

    const auto encoding = std::chrono::steady_clock::now();
    const auto data = encode_state({group.leader().state(), group.leader().runs(), {}});
    const auto encoded = elapsed_seconds(encoding);
    const auto writing = std::chrono::steady_clock::now();
    BOOST_TEST(group.members_.begin()->second.store_->save_snapshot({1, 1, data}, {}).has_value());
    const auto written = elapsed_seconds(writing);
    const auto decoding = std::chrono::steady_clock::now();
    BOOST_TEST(decode_state(data, {}).has_value());
    BOOST_TEST_MESSAGE(fmt::format(
        "snapshot of {} rows: {} bytes, encoded in {:.1f} ms, written in {:.1f} ms, read in "
        "{:.1f} ms",
        table_rows, data.size(), encoded * 1000, written * 1000, elapsed_seconds(decoding) * 1000));
}
