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

BOOST_AUTO_TEST_CASE(a_seed_always_gives_the_same_faults)
{
    BOOST_TEST(text_of_plan(7) == text_of_plan(7));
    BOOST_TEST(text_of_plan(7) != text_of_plan(8));
}

BOOST_AUTO_TEST_CASE(plans_hold_every_kind_of_fault_and_one_lost_disk_at_the_most)
{
    std::set<soak_action> actions;
    std::set<link_fault> link_faults;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto plan = make_soak_plan(seed, size);
        BOOST_TEST(std::ranges::is_sorted(plan, {}, &soak_fault::at_));
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
