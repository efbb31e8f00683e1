#include <boost/test/unit_test.hpp>

#include "daemon/progress_board.h"

using namespace sycamorewinch;

namespace {

auto zone_at(std::uint64_t version) -> std::vector<zone_progress>
{
    return {{"zone-a", 4, version, 4, {"node-1"}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_silent_replica_holds_nothing_up_for_ever)
{
    progress_board board;
    instant now{};
    board.report("c1", zone_at(4), now);
    BOOST_TEST(board.total(zone_at(5), now).front().lowest_version_ == 4);
    now += progress_silence - std::chrono::milliseconds(1);
    BOOST_TEST(board.total(zone_at(5), now).front().lowest_version_ == 4);
    BOOST_TEST(board.silent(now).empty());
    now += std::chrono::milliseconds(1);
    BOOST_TEST(board.total(zone_at(5), now).front().lowest_version_ == 5);
    BOOST_TEST(board.silent(now) == std::vector<std::string>{"c1"});
    board.report("c1", zone_at(3), now); // it speaks again
    BOOST_TEST(board.total(zone_at(5), now).front().lowest_version_ == 3);
    BOOST_TEST(board.silent(now).empty());
}

BOOST_AUTO_TEST_CASE(a_dead_replicas_nodes_are_kept_until_they_had_time_to_move)
{
    progress_board board;
    instant now{};
    board.report("c1", zone_at(4), now);
    board.on_disconnected("c1", now);
    now += progress_grace - std::chrono::milliseconds(1);
    board.on_disconnected("c1", now); // a failed dial extends nothing
    BOOST_TEST(board.total({}, now).size() == 1);
    now += std::chrono::milliseconds(1);
    BOOST_TEST(board.total({}, now).empty());
}
