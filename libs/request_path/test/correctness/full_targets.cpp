// A service without a free slot: few targets are asked, and the caller is refused soon.
#include <boost/test/unit_test.hpp>

#include "../node_fixture.h"

using namespace sycamorewinch;

namespace {

constexpr unsigned targets_of_large_service = 15;
constexpr std::uint64_t most_further_tries = 2;

/** Puts \p count targets without slots beside \p node. */
void publish_full_targets(test_node& node, unsigned count)
{
    auto local = std::make_shared<local_targets>();
    std::vector<target_record> records;
    for (unsigned index = 0; index < count; ++index) {
        target_record record{.service_ = "dialer", .target_ = "d" + std::to_string(index)};
        record.node_address_ = node.state_.own_address();
        local->push_back({record.service_,
                          record.target_,
                          {"127.0.0.1", 1},
                          std::make_shared<admission_controller>(0),
                          std::make_shared<target_meter>()});
        records.push_back(std::move(record));
    }
    node.state_.publish_targets(std::move(local));
    node.state_.publish_routes(std::make_shared<const table>(make_table(1, {test_row()})), records);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_asks_few_of_many_full_targets)
{
    node_fixture nodes(call_path::local, 1);
    publish_full_targets(nodes.front(), targets_of_large_service);
    const auto caller = nodes.call();
    caller->write("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(wait_until([&] { return holds_whole_answer(caller->received()); }));
    BOOST_TEST(caller->received().find("sycamorewinch-refusal: target_full") != std::string::npos);
    BOOST_TEST(caller->received().find("sycamorewinch-outcome: not-run") != std::string::npos);
    auto& tries = nodes.front().metrics_.count("sycamorewinch_retries_total", "",
                                               {{"reason", "target_full"}, {"service", "dialer"}});
    BOOST_TEST(tries.value() == most_further_tries);
}
