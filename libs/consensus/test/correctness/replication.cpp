#include <boost/test/unit_test.hpp>

#include <map>

#include "consensus/raft.h"

using namespace sycamorewinch;

namespace {

/** Three replicas on a reliable network under virtual time. */
struct group {
    std::map<std::string, raft> replicas_;
    std::map<std::string, std::vector<std::string>> applied_;
    std::vector<confirmed_read> reads_;
    std::set<std::string> isolated_;
    instant now_{};

    group()
    {
        const std::vector<std::string> names{"a", "b", "c"};
        for (const auto& name : names) {
            raft_options options{.self_ = name, .voters_ = names};
            options.random_ = seeded_random(hash(name));
            replicas_.emplace(name, raft::create(options, {}, now_).value());
        }
    }

    static auto hash(const std::string& name) -> std::uint64_t
    {
        return static_cast<std::uint64_t>(name.front());
    }

    void run(duration run_time)
    {
        const auto end = now_ + run_time;
        for (; now_ < end; now_ += std::chrono::milliseconds(5)) {
            std::vector<raft_message> messages;
            for (auto& [name, replica] : replicas_) {
                replica.tick(now_);
                collect_output(name, messages);
            }
            while (!messages.empty()) {
                std::vector<raft_message> next;
                for (const auto& message : messages) {
                    if (!isolated_.contains(message.from_) && !isolated_.contains(message.to_)) {
                        replicas_.at(message.to_).receive(message, now_);
                        collect_output(message.to_, next);
                    }
                }
                messages = std::move(next);
            }
        }
    }

    void collect_output(const std::string& name, std::vector<raft_message>& messages)
    {
        auto output = replicas_.at(name).take_output();
        for (auto& entry : output.committed_) {
            if (entry.kind_ == entry_kind::command) {
                applied_[name].push_back(entry.payload_);
            }
        }
        reads_.insert(reads_.end(), output.reads_.begin(), output.reads_.end());
        std::ranges::move(output.messages_, std::back_inserter(messages));
    }

    auto leader() -> raft*
    {
        for (auto& [name, replica] : replicas_) {
            if (replica.role() == raft_role::leader && !isolated_.contains(name)) {
                return &replica;
            }
        }
        return nullptr;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_command_is_applied_by_every_replica)
{
    group group;
    group.run(std::chrono::seconds(2));
    BOOST_REQUIRE(group.leader() != nullptr);
    BOOST_TEST(group.leader()->propose("x", group.now_).has_value());
    group.run(std::chrono::seconds(1));
    for (const auto* name : {"a", "b", "c"}) {
        BOOST_TEST(group.applied_[name] == std::vector<std::string>{"x"});
    }
}

BOOST_AUTO_TEST_CASE(a_cut_off_leader_steps_down_and_another_takes_over)
{
    group group;
    group.run(std::chrono::seconds(2));
    auto* old_leader = group.leader();
    BOOST_REQUIRE(old_leader != nullptr);
    group.isolated_.insert(old_leader->options().self_);
    group.run(std::chrono::seconds(2));
    BOOST_TEST((old_leader->role() != raft_role::leader));
    BOOST_REQUIRE(group.leader() != nullptr);
    BOOST_TEST(group.leader()->propose("y", group.now_).has_value());
    group.run(std::chrono::seconds(1));
    group.isolated_.clear();
    group.run(std::chrono::seconds(2));
    BOOST_TEST(group.applied_[old_leader->options().self_] == std::vector<std::string>{"y"});
}

BOOST_AUTO_TEST_CASE(a_read_is_confirmed_by_a_quorum)
{
    group group;
    group.run(std::chrono::seconds(2));
    group.leader()->request_read(7, group.now_);
    group.run(std::chrono::milliseconds(20));
    BOOST_REQUIRE(group.reads_.size() == 1);
    BOOST_TEST(group.reads_.front().token_ == 7);
}
