#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include "soak/soak_plan.h"

using namespace sycamorewinch;

namespace {

constexpr soak_size size{.links_ = 20, .length_ = std::chrono::seconds(20)};

auto text_of_plan(std::uint64_t seed) -> std::string
{
    std::string text;
    for (const auto& fault : make_soak_plan(seed, size)) {
        text += to_text(fault) + "\n";
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_plan)
{
    BOOST_TEST(text_of_plan(7) == text_of_plan(7));
    BOOST_TEST(text_of_plan(7) != text_of_plan(8));
}

BOOST_AUTO_TEST_CASE(every_plan_restarts_each_node)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::set<std::string> restarted;
        for (const auto& fault : make_soak_plan(seed, size)) {
            if (fault.action_ == soak_action::terminate) {
                restarted.insert(fault.process_);
            }
        }
        BOOST_TEST(restarted.size() == size.nodes_);
    }
}

BOOST_AUTO_TEST_CASE(plans_cover_every_fault_and_wipe_at_most_one_disk)
{
    std::set<soak_action> actions;
    std::set<link_fault> link_faults;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto plan = make_soak_plan(seed, size);
        BOOST_TEST(std::ranges::is_sorted(plan, {}, &soak_fault::start_));
        BOOST_TEST(std::ranges::count(plan, soak_action::wipe, &soak_fault::action_) <= 1);
        for (const auto& fault : plan) {
            actions.insert(fault.action_);
            link_faults.insert(fault.link_fault_);
            BOOST_TEST(fault.link_ < size.links_);
        }
    }
    BOOST_TEST(actions.size() == soak_action_names.size());
    BOOST_TEST(link_faults.size() == link_fault_names.size());
}
