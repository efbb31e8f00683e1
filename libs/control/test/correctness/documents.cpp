// Edits that carry the whole table as a text and a version number chosen by the editor.
#include <boost/test/unit_test.hpp>

#include "control/replicated_state.h"
#include "distribution/compressed_message.h"

using namespace sycamorewinch;

namespace {

auto edit_of(const replicated_state& state, std::uint64_t number, const std::string& text)
    -> accept_command
{
    accept_command edit{text, "ann", state.current()->version_, {}};
    edit.number_ = number;
    edit.document_ = compress_with_prefix(state.document(), text);
    return edit;
}

auto status_of(replicated_state& state, const accept_command& edit) -> accept_status
{
    return state.apply(edit).status_;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_document_is_returned_unchanged_under_its_version_number)
{
    replicated_state state;
    BOOST_TEST((status_of(state, edit_of(state, 5, "first text")) == accept_status::accepted));
    BOOST_TEST((status_of(state, edit_of(state, 12, "second text")) == accept_status::accepted));
    BOOST_TEST(state.document() == "second text");
    BOOST_TEST(state.current()->version_.number_ == 12U);
    const auto copy = replicated_state::decode(state.encode(), {}).value();
    BOOST_TEST(copy.document() == "second text");
    BOOST_TEST((copy.current()->version_ == state.current()->version_));
}

BOOST_AUTO_TEST_CASE(an_accepted_document_is_reported_accepted_when_resent)
{
    replicated_state state;
    const auto first = edit_of(state, 5, "first text");
    BOOST_TEST((status_of(state, first) == accept_status::accepted));
    BOOST_TEST((status_of(state, edit_of(state, 6, "second text")) == accept_status::accepted));
    BOOST_TEST((status_of(state, first) == accept_status::accepted));
    BOOST_TEST(state.document() == "second text");
}

BOOST_AUTO_TEST_CASE(of_two_edits_on_one_base_one_is_accepted_and_the_other_can_be_rebased)
{
    replicated_state state;
    const auto accepted_edit = edit_of(state, 5, "one text");
    const auto conflicting_edit = edit_of(state, 5, "other text");
    BOOST_TEST((status_of(state, accepted_edit) == accept_status::accepted));
    BOOST_TEST((status_of(state, conflicting_edit) == accept_status::conflict));
    BOOST_TEST((status_of(state, edit_of(state, 6, "other text")) == accept_status::accepted));
}

BOOST_AUTO_TEST_CASE(a_chosen_version_number_must_be_above_the_current_one)
{
    replicated_state state;
    BOOST_TEST((status_of(state, edit_of(state, 5, "first text")) == accept_status::accepted));
    BOOST_TEST((status_of(state, edit_of(state, 5, "second text")) == accept_status::refused));
    BOOST_TEST((status_of(state, edit_of(state, 4, "third text")) == accept_status::refused));
    BOOST_TEST(state.document() == "first text");
}

BOOST_AUTO_TEST_CASE(a_snapshot_keeps_organisations)
{
    replicated_state state;
    auto edit = edit_of(state, 5, "text");
    edit.change_.organisation_upserts_ = {
        {.name_ = "acme", .keys_ = {digest_of_api_key("k1")}, .rate_thousandths_ = 500}};
    BOOST_TEST((status_of(state, edit) == accept_status::accepted));
    const auto copy = replicated_state::decode(state.encode(), {}).value();
    BOOST_TEST((copy.current()->version_ == state.current()->version_));
    BOOST_REQUIRE(copy.current()->find_organisation("acme") != nullptr);
    BOOST_TEST(copy.current()->find_organisation("acme")->rate_thousandths_ == 500U);
}

BOOST_AUTO_TEST_CASE(bad_organisations_are_refused_and_the_version_in_force_stays)
{
    replicated_state state;
    BOOST_TEST((status_of(state, edit_of(state, 5, "first text")) == accept_status::accepted));
    auto edit = edit_of(state, 6, "second text");
    edit.change_.organisation_upserts_ = {{.name_ = "a", .keys_ = {digest_of_api_key("k1")}},
                                          {.name_ = "b", .keys_ = {digest_of_api_key("k1")}}};
    const auto outcome = state.apply(edit);
    BOOST_TEST((outcome.status_ == accept_status::refused));
    BOOST_TEST(outcome.message_ == "organisations 'a' and 'b' have an API key in common");
    BOOST_TEST(state.current()->version_.number_ == 5U);
    BOOST_TEST(state.document() == "first text");
}
