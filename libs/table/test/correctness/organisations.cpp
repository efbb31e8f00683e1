#include <boost/test/unit_test.hpp>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "table/row_codec.h"
#include "table/table_check.h"

using namespace sycamorewinch;

namespace {

auto make_organisation(const std::string& name, const std::vector<std::string>& keys)
    -> organisation
{
    organisation made;
    made.name_ = name;
    for (const auto& key : keys) {
        made.keys_.push_back(digest_of_api_key(key));
    }
    return made;
}

auto make_row() -> row
{
    return {.service_ = "dialer", .path_prefix_ = "/dialer"};
}

auto sent_and_received(const table_change& change) -> table_change
{
    cbor_writer writer;
    write_change(writer, change);
    const auto bytes = writer.take();
    cbor_reader reader(bytes);
    auto received = read_change(reader);
    BOOST_TEST(reader.finish().has_value());
    return received;
}

auto problem_of(const std::vector<organisation>& organisations) -> std::string
{
    return check_organisations(organisations).value_or("none");
}

} // namespace

BOOST_AUTO_TEST_CASE(a_change_carries_organisations_from_one_table_to_the_other)
{
    auto acme = make_organisation("acme", {"k1", "k2"});
    const auto other = make_organisation("other", {"k3"});
    const auto before = make_table(1, {make_row()}, {}, {other, acme});
    acme.rate_thousandths_ = 7'500;
    acme.burst_ = 3;
    acme.priority_ = 2;
    auto open_row = make_row();
    open_row.allow_anonymous_ = true;
    const auto after = make_table(2, {open_row}, {}, {acme, make_organisation("third", {})});
    const auto change = sent_and_received(difference(before, after));
    BOOST_TEST((change == difference(before, after)));
    const auto applied = apply_change(before, change, 2);
    BOOST_TEST((applied.version_ == after.version_));
    BOOST_TEST((applied.organisations_ == after.organisations_));
    BOOST_TEST(applied.rows_.front().allow_anonymous_);
    BOOST_REQUIRE(applied.find_organisation("acme") != nullptr);
    BOOST_TEST(applied.find_organisation("acme")->rate_thousandths_ == 7'500U);
    BOOST_TEST(applied.find_organisation("other") == nullptr);
}

BOOST_AUTO_TEST_CASE(combined_changes_have_the_effect_of_both)
{
    const auto first = make_table(1, {}, {}, {make_organisation("a", {"k1"})});
    const auto second = make_table(2, {}, {}, {make_organisation("b", {"k1"})});
    const auto third =
        make_table(3, {}, {}, {make_organisation("b", {"k2"}), make_organisation("c", {"k3"})});
    const auto both = combine(difference(first, second), difference(second, third));
    BOOST_TEST((apply_change(first, both, 3).version_ == third.version_));
}

// Guards against nodes of two program versions that disagree on the digest of a table.
BOOST_AUTO_TEST_CASE(a_table_without_organisations_keeps_its_digest_and_encoding)
{
    const auto plain = make_table(1, {make_row()});
    BOOST_TEST((make_table(1, {make_row()}, {}, {}).version_ == plain.version_));
    BOOST_TEST(to_hex(plain.version_.digest_) == "39de29819b75c86e44aecfd6061a03ce");
    cbor_writer writer;
    write_change(writer, difference(make_table(0, {}), plain));
    const auto bytes = writer.take();
    BOOST_TEST(static_cast<unsigned char>(bytes.front()) == 0x83); // an array of three
}

BOOST_AUTO_TEST_CASE(bad_organisations_are_refused_and_their_keys_are_not_shown)
{
    BOOST_TEST(problem_of({make_organisation("a", {"k1"}), make_organisation("b", {"k2", "k1"})}) ==
               "organisations 'a' and 'b' have an API key in common");
    BOOST_TEST(problem_of({make_organisation("", {"k1"})}) ==
               "organisation '': its name is empty; a name is required");
    BOOST_TEST(problem_of({make_organisation("a", {"k1"}), make_organisation("a", {"k2"})}) ==
               "organisation 'a' is listed twice");
    BOOST_TEST(problem_of({make_organisation("a\r\nx: y", {})}).starts_with("organisation 'a??"));
    BOOST_TEST(problem_of({make_organisation("Acme, Inc.", {}),
                           make_organisation("Caf\xC3\xA9", {})}) == "none");
    auto excessive = make_organisation("a", {});
    excessive.rate_thousandths_ = 10'000'001'000;
    BOOST_TEST(problem_of({excessive}) ==
               "organisation 'a': rate and burst may be at most 10000000");
    BOOST_TEST(api_key_problem("") == "is empty");
    BOOST_TEST(!api_key_problem("two words").empty());
    BOOST_TEST(!api_key_problem("tab\t").empty());
    BOOST_TEST(!api_key_problem("caf\xC3\xA9").empty());
    BOOST_TEST(api_key_problem("26tta828m82thhkmgjqn").empty());
}

BOOST_AUTO_TEST_CASE(an_organisation_may_have_no_key_and_a_table_many)
{
    constexpr int keys = 10'000;
    std::vector<std::string> many;
    many.reserve(keys);
    for (int number = 0; number < keys; ++number) {
        many.push_back("key-" + std::to_string(number));
    }
    const std::vector organisations{make_organisation("none", {}), make_organisation("many", many)};
    BOOST_TEST(problem_of(organisations) == "none");
    const auto full = make_table(2, {}, {}, organisations);
    const auto change = sent_and_received(difference(make_table(1, {}), full));
    BOOST_TEST((apply_change(make_table(1, {}), change, 2).version_ == full.version_));
}
