// The checker reports each kind of violation exactly once and none for a valid run.
#include <boost/test/unit_test.hpp>

#include "soak/guarantee_checker.h"

using namespace sycamorewinch;
using std::chrono::milliseconds;

namespace {

auto answered(const std::string& key) -> call_record
{
    return {.key_ = key, .status_ = 200, .body_ = "dialer d1 1 POST /dialer/" + key + " \n"};
}

auto refused(const std::string& key, const std::string& outcome) -> call_record
{
    return {.key_ = key, .status_ = 503, .refusal_ = "target_full", .outcome_ = outcome};
}

constexpr milliseconds time_allowed{1'500};

auto timed_out(const std::string& key, duration response_time) -> call_record
{
    return {.key_ = key,
            .status_ = 504,
            .refusal_ = "deadline_passed",
            .outcome_ = "unknown",
            .response_time_ = response_time};
}

auto without_response(const std::string& key) -> call_record
{
    return {.key_ = key};
}

void begin_all(guarantee_checker& checker)
{
    for (const auto* key : {"a", "b", "c"}) {
        checker.record_call_start({key, false, time_allowed});
    }
    for (const auto* key : {"d", "e", "f", "g", "h"}) {
        checker.record_call_start({key, true, time_allowed}); // "e" never ends
    }
}

/** A run without violations. */
auto valid_run() -> guarantee_checker
{
    guarantee_checker checker;
    begin_all(checker);
    checker.record_call_end(answered("a"), caller_path::worked);
    checker.record_run("a");
    checker.record_call_end(refused("b", "not-run"), caller_path::worked);
    checker.record_call_end(refused("c", "unknown"), caller_path::worked);
    checker.record_run("c");
    checker.record_call_end(answered("d"), caller_path::worked);
    checker.record_run("d");
    checker.record_run("d");
    checker.record_run("e");
    checker.record_call_end(timed_out("f", time_allowed), caller_path::worked);
    checker.record_call_end(without_response("g"), caller_path::failed);
    checker.record_run("g");
    checker.record_call_end(without_response("h"), caller_path::worked); // not run
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
    BOOST_TEST(valid_run().counts().timed_out_ == 1U);
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
            checker.record_call_end(other, caller_path::worked);
        },
        [](auto& checker) {
            checker.record_call_end(timed_out("e", time_allowed - duration(1)),
                                    caller_path::worked);
        },
        [](auto& checker) {
            checker.record_call_end(timed_out("e", time_allowed - duration(1)),
                                    caller_path::failed);
        },
        [](auto& checker) { checker.record_run("h"); },
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
