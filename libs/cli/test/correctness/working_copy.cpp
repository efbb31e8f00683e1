#include <boost/test/unit_test.hpp>

#include "../fake_control.h"
#include "cli/working_copy.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

BOOST_AUTO_TEST_CASE(working_copy_edit_is_accepted_into_the_table)
{
    fake_control control;
    control.accept({make_row("a", 1)});
    test_operator ann({control.address()});
    const auto file = ann.path("t.csv");
    BOOST_TEST((ann.run({"table", "export", file}) == exit_status::done));
    BOOST_TEST((ann.run({"table", "set", "a", "rate", "7"}, {.file_ = file}) == exit_status::done));
    BOOST_TEST(control.current().version_.number_ == 1);
    BOOST_TEST((ann.run({"table", "diff", file}) == exit_status::done));
    BOOST_TEST(ann.printed("a, column rate: '1' -> '7'"));
    // A new export would overwrite the edit.
    BOOST_TEST((ann.run({"table", "export", file}) == exit_status::wrong_arguments));
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::done));
    BOOST_TEST(control.current().rows_.front().default_limit_.requests_per_second_ == 7);
    BOOST_TEST((read_base(file)->table_.version_ == control.current().version_));
    BOOST_TEST((ann.run({"table", "export", file}) == exit_status::done));
}

BOOST_AUTO_TEST_CASE(rows_are_added_and_removed)
{
    fake_control control;
    test_operator ann({control.address()});
    BOOST_TEST((ann.run({"table", "add-row", "a", "/a"}) == exit_status::done));
    BOOST_TEST((ann.run({"table", "add-row", "a", "/b"}) == exit_status::bad_table));
    BOOST_TEST(ann.printed("a, column service"));
    BOOST_TEST((ann.run({"table", "remove-row", "a"}) == exit_status::done));
    BOOST_TEST(control.current().rows_.empty());
    BOOST_TEST((ann.run({"table", "remove-row", "a"}) == exit_status::bad_table));
}

BOOST_AUTO_TEST_CASE(conflict_lists_cells_and_keeps_the_working_copy)
{
    fake_control control;
    control.accept({make_row("a", 1), make_row("b", 1)});
    test_operator ann({control.address()});
    test_operator bob({control.address()});
    const auto ann_file = ann.path("t.csv");
    const auto bob_file = bob.path("t.csv");
    ann.run({"table", "export", ann_file});
    bob.run({"table", "export", bob_file});
    ann.run({"table", "set", "a", "rate", "2"}, {.file_ = ann_file});
    bob.run({"table", "set", "a", "rate", "3"}, {.file_ = bob_file});
    bob.run({"table", "set", "b", "rate", "4"}, {.file_ = bob_file});
    BOOST_TEST((ann.run({"table", "accept", ann_file}) == exit_status::done));
    BOOST_TEST((bob.run({"table", "accept", bob_file}) == exit_status::conflict));
    BOOST_TEST(bob.printed("a, column rate: base '1', theirs '2', yours '3'"));
    BOOST_TEST(control.current().version_.number_ == 2);
    BOOST_TEST(read_rows(bob_file)->back().default_limit_.requests_per_second_ == 4);

    BOOST_TEST((bob.run({"table", "merge", bob_file}) == exit_status::conflict));
    BOOST_TEST((bob.run({"table", "merge", bob_file}, {.keep_mine_ = true}) == exit_status::done));
    BOOST_TEST((bob.run({"table", "accept", bob_file}) == exit_status::done));
    BOOST_TEST(control.current().rows_.front().default_limit_.requests_per_second_ == 3);
    BOOST_TEST(control.current().rows_.back().default_limit_.requests_per_second_ == 4);
}

BOOST_AUTO_TEST_CASE(lost_response_is_retried_with_the_same_edit_id)
{
    fake_control control;
    control.accept({make_row("a", 1)});
    test_operator ann({control.address()});
    const auto file = ann.path("t.csv");
    ann.run({"table", "export", file});
    ann.run({"table", "set", "a", "rate", "2"}, {.file_ = file});
    control.drops_accept_responses_ = true;
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::outcome_unknown));
    BOOST_TEST(read_base(file)->pending_.has_value());
    BOOST_TEST((ann.run({"table", "merge", file}) == exit_status::outcome_unknown));
    control.drops_accept_responses_ = false;
    BOOST_TEST((ann.run({"table", "accept", file}) == exit_status::done));
    BOOST_TEST(control.current().version_.number_ == 2); // applied once
    BOOST_TEST(!read_base(file)->pending_.has_value());
}

BOOST_AUTO_TEST_CASE(edit_is_retried_with_an_explicit_edit_id)
{
    fake_control control;
    control.accept({make_row("a", 1)});
    test_operator ann({control.address()});
    control.drops_accept_responses_ = true;
    BOOST_TEST((ann.run({"table", "set", "a", "rate", "2"}, {.edit_id_ = "e1"}) ==
                exit_status::outcome_unknown));
    BOOST_TEST(ann.printed("--edit-id=e1"));
    control.drops_accept_responses_ = false;
    BOOST_TEST(
        (ann.run({"table", "set", "a", "rate", "2"}, {.edit_id_ = "e1"}) == exit_status::done));
    BOOST_TEST(ann.printed("accepted version 2"));
    BOOST_TEST(control.current().version_.number_ == 2);
}
