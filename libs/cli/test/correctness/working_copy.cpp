#include <boost/test/unit_test.hpp>

#include "../fake_control.h"
#include "cli/working_copy.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

BOOST_AUTO_TEST_CASE(an_edit_goes_from_a_working_copy_into_the_table)
{
    fake_control control;
    control.accept({row_of("a", 1)});
    test_operator ann({control.address()});
    const auto file = ann.path("t.csv");
    BOOST_TEST((ann.run({"table", "export", file}) == exit_status::done));
    BOOST_TEST((ann.run({"table", "set", "a", "rate", "7"}, {.file_ = file}) == exit_status::done));
    BOOST_TEST(control.current().version_.number_ == 1);
    BOOST_TEST((ann.run({"table", "diff", file}) == exit_status::done));
    BOOST_TEST(ann.said("a, column rate: '1' -> '7'"));
    BOOST_TEST((ann.run({"table", "export", file}) == exit_status::wrong_arguments)); // keeps it
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::done));
    BOOST_TEST(control.current().rows_.front().default_limit_.requests_per_second_ == 7);
    BOOST_TEST((read_base(file)->table_.version_ == control.current().version_));
    BOOST_TEST((ann.run({"table", "export", file}) == exit_status::done));
}

BOOST_AUTO_TEST_CASE(rows_come_and_go)
{
    fake_control control;
    test_operator ann({control.address()});
    BOOST_TEST((ann.run({"table", "add-row", "a", "/a"}) == exit_status::done));
    BOOST_TEST((ann.run({"table", "add-row", "a", "/b"}) == exit_status::bad_table));
    BOOST_TEST(ann.said("a, column service"));
    BOOST_TEST((ann.run({"table", "remove-row", "a"}) == exit_status::done));
    BOOST_TEST(control.current().rows_.empty());
    BOOST_TEST((ann.run({"table", "remove-row", "a"}) == exit_status::bad_table));
}

BOOST_AUTO_TEST_CASE(the_loser_of_a_race_sees_the_cells_and_loses_nothing)
{
    fake_control control;
    control.accept({row_of("a", 1), row_of("b", 1)});
    test_operator ann({control.address()});
    test_operator bob({control.address()});
    const auto anns = ann.path("t.csv");
    const auto bobs = bob.path("t.csv");
    ann.run({"table", "export", anns});
    bob.run({"table", "export", bobs});
    ann.run({"table", "set", "a", "rate", "2"}, {.file_ = anns});
    bob.run({"table", "set", "a", "rate", "3"}, {.file_ = bobs});
    bob.run({"table", "set", "b", "rate", "4"}, {.file_ = bobs});
    BOOST_TEST((ann.run({"table", "accept", anns}) == exit_status::done));
    BOOST_TEST((bob.run({"table", "accept", bobs}) == exit_status::conflict));
    BOOST_TEST(bob.said("a, column rate: base '1', theirs '2', yours '3'"));
    BOOST_TEST(control.current().version_.number_ == 2);
    BOOST_TEST(read_rows(bobs)->back().default_limit_.requests_per_second_ == 4);

    BOOST_TEST((bob.run({"table", "merge", bobs}) == exit_status::conflict));
    BOOST_TEST((bob.run({"table", "merge", bobs}, {.keep_mine_ = true}) == exit_status::done));
    BOOST_TEST((bob.run({"table", "accept", bobs}) == exit_status::done));
    BOOST_TEST(control.current().rows_.front().default_limit_.requests_per_second_ == 3);
    BOOST_TEST(control.current().rows_.back().default_limit_.requests_per_second_ == 4);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_asked_for_again_by_the_same_id)
{
    fake_control control;
    control.accept({row_of("a", 1)});
    test_operator ann({control.address()});
    const auto file = ann.path("t.csv");
    ann.run({"table", "export", file});
    ann.run({"table", "set", "a", "rate", "2"}, {.file_ = file});
    control.loses_answers_ = true;
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::outcome_unknown));
    BOOST_TEST(read_base(file)->pending_.has_value());
    BOOST_TEST((ann.run({"table", "merge", file}) == exit_status::outcome_unknown));
    control.loses_answers_ = false;
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::done));
    BOOST_TEST(control.current().version_.number_ == 2); // made once
    BOOST_TEST(!read_base(file)->pending_.has_value());
}

BOOST_AUTO_TEST_CASE(an_operator_may_send_an_edit_again_by_its_id)
{
    fake_control control;
    control.accept({row_of("a", 1)});
    test_operator ann({control.address()});
    control.loses_answers_ = true;
    BOOST_TEST((ann.run({"table", "set", "a", "rate", "2"}, {.edit_id_ = "e1"}) ==
                exit_status::outcome_unknown));
    BOOST_TEST(ann.said("--edit-id=e1"));
    control.loses_answers_ = false;
    BOOST_TEST(
        (ann.run({"table", "set", "a", "rate", "2"}, {.edit_id_ = "e1"}) == exit_status::done));
    BOOST_TEST(ann.said("accepted version 2"));
    BOOST_TEST(control.current().version_.number_ == 2);
}
