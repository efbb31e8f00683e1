#include <boost/test/unit_test.hpp>

#include "policy/organisation_index.h"

using namespace sycamorewinch;

namespace {

auto table_with(std::vector<organisation> organisations) -> std::shared_ptr<const table>
{
    return std::make_shared<const table>(make_table(1, {}, {}, std::move(organisations)));
}

} // namespace

BOOST_AUTO_TEST_CASE(an_organisation_is_found_by_each_of_its_keys)
{
    const auto index = organisation_index::create(
        table_with({{.name_ = "acme", .keys_ = {digest_of_api_key("k1"), digest_of_api_key("k2")}},
                    {.name_ = "other", .keys_ = {digest_of_api_key("k3")}}}));
    BOOST_TEST(!index->empty());
    BOOST_REQUIRE(index->find("k2") != nullptr);
    BOOST_TEST(index->find("k1")->organisation_->name_ == "acme");
    BOOST_TEST(index->find("k2")->organisation_->name_ == "acme");
    BOOST_TEST(index->find("k3")->organisation_->name_ == "other");
    BOOST_TEST(index->find("k4") == nullptr);
    BOOST_TEST(index->find("") == nullptr);
    BOOST_TEST(index->find("k1, k2") == nullptr);
}

BOOST_AUTO_TEST_CASE(an_organisation_without_keys_still_makes_keys_necessary)
{
    BOOST_TEST(!organisation_index::create(table_with({{.name_ = "acme"}}))->empty());
    BOOST_TEST(organisation_index::create(table_with({}))->empty());
    BOOST_TEST(organisation_index::create(nullptr)->empty());
}

BOOST_AUTO_TEST_CASE(organisations_beyond_the_limit_share_one_metric)
{
    metrics_registry registry;
    organisation_states states(registry);
    for (std::size_t number = 0; number < max_measured_organisations + 5; ++number) {
        states.of("o" + std::to_string(number))->count_call();
    }
    states.of("o0")->count_refusal(refusal_reason::quota_exceeded);
    const auto text = registry.prometheus_text();
    BOOST_TEST(text.find(R"(calls_total{organisation="other"} 5)") != std::string::npos);
    BOOST_TEST(text.find(R"(calls_total{organisation="o0"} 1)") != std::string::npos);
    BOOST_TEST(text.find(R"(refusals_total{organisation="o0",reason="quota_exceeded"} 1)") !=
               std::string::npos);
}
