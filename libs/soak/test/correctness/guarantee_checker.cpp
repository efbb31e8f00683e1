// The checker reports each kind of violation exactly once and none for a valid run.
#include <boost/test/unit_test.hpp>

#include "soak/guarantee_checker.h"

using namespace sycamorewinch;

namespace {

auto answered(const std::string& key) -> call_record
{
    return {.key_ = key, .status_ = 200, .body_ = "dialer d1 1 POST /dialer/" + key + " \n"};
}

auto refused(const std::string& key, const std::string& outcome) -> call_record
{
    return {.key_ = key, .status_ = 503, .refusal_ = "target_full", .outcome_ = outcome};
}

void begin_all(guarantee_checker& checker)
{
    for (const auto* key : {"a", "b", "c"}) {
        checker.record_call_start(key, false);
    }
    checker.record_call_start("d", true);
    checker.record_call_start("e", true); // never ends
}

/** A run without violations. */
auto valid_run() -> guarantee_checker
{
    guarantee_checker checker;
    begin_all(checker);
    checker.record_call_end(answered("a"));
    checker.record_run("a");
    checker.record_call_end(refused("b", "not-run"));
    checker.record_call_end(refused("c", "unknown"));
    checker.record_run("c");
    checker.record_call_end(answered("d"));
    checker.record_run("d");
    checker.record_run("d");
    checker.record_run("e");
    checker.record_version("node-1", 2);
    checker.record_version("node-1", 3);
    checker.record_accepted_edit("edit-1", 3);
    checker.record_accepted_edit("edit-1", 3);
    checker.record_final_version(3);
    return checker;
}

} // namespace

BOOST_AUTO_TEST_CASE(valid_run_has_no_violations)
{
    BOOST_TEST(valid_run().violations().empty());
    BOOST_TEST(valid_run().counts().answered_ == 2U);
    BOOST_TEST(valid_run().counts().refused_not_run_ == 1U);
}

BOOST_AUTO_TEST_CASE(each_violation_is_reported)
{
    const std::vector<std::function<void(guarantee_checker&)>> violating_actions{
        [](auto& checker) { checker.record_run("a"); },
        [](auto& checker) { checker.record_run("b"); },
        [](auto& checker) { checker.record_run("nobody"); },
        [](auto& checker) {
            auto other = answered("e");
            other.body_ = answered("f").body_;
            checker.record_call_end(other);
        },
        [](auto& checker) { checker.record_version("node-1", 2); },
        [](auto& checker) { checker.record_accepted_edit("edit-2", 3); },
        [](auto& checker) { checker.record_accepted_edit("edit-3", 4); },
    };
    for (const auto& add_violation : violating_actions) {
        auto checker = valid_run();
        add_violation(checker);
        BOOST_TEST(checker.violations().size() == 1U);
    }
}
