#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

#include "resources/resource_guard.h"

using namespace sycamorewinch;

namespace {

constexpr std::uint64_t limit = 1'000;
constexpr std::size_t max_connections = 3;

/** A client that holds bytes until it is asked to give them back. */
class test_client {
  public:
    test_client(resource_guard& guard, std::string name, std::vector<std::string>& reclaimed)
        : charge_(&guard), client_(&guard, client_kind::connection,
                                   [this, name = std::move(name), &reclaimed](reclaim_reason) {
                                       reclaimed.push_back(name);
                                       charge_.set(0);
                                       client_.leave();
                                   })
    {
    }

    void hold(std::uint64_t bytes, client_stage stage)
    {
        charge_.set(bytes);
        client_.set_stage(stage, true);
    }
    [[nodiscard]] auto client() const -> const guarded_client* { return &client_; }

  private:
    memory_charge charge_;
    guarded_client client_;
};

struct guard_fixture {
    metrics_registry metrics_;
    memory_account account_{memory_limits{limit, limit}, metrics_};
    resource_guard guard_{account_, memory_use::calls, max_connections, "callers"};
    std::vector<std::string> reclaimed_;
    test_client first_{guard_, "first", reclaimed_};
    test_client second_{guard_, "second", reclaimed_};
    test_client third_{guard_, "third", reclaimed_};

    auto count(reclaim_reason reason) -> std::uint64_t
    {
        return metrics_
            .count("sycamorewinch_clients_reclaimed_total", "",
                   {{"address", "callers"}, {"reason", name_of(reason)}})
            .value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(what_is_held_is_counted_and_given_back, guard_fixture)
{
    first_.hold(300, client_stage::sending);
    second_.hold(200, client_stage::waiting);
    BOOST_TEST(account_.held(memory_use::calls) == 500U);
    first_.hold(100, client_stage::sending);
    BOOST_TEST(account_.held(memory_use::calls) == 300U);
    BOOST_TEST(account_.held(memory_use::interfaces) == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_client_without_progress_for_the_longest_time_gives_back_first,
                        guard_fixture)
{
    first_.hold(400, client_stage::sending);
    second_.hold(300, client_stage::sending);
    third_.hold(300, client_stage::sending);
    first_.hold(400, client_stage::sending); // progress
    BOOST_TEST(guard_.make_room(100, nullptr));
    BOOST_TEST((reclaimed_ == std::vector<std::string>{"second"}));
    BOOST_TEST(count(reclaim_reason::memory) == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_client_that_waits_for_a_response_keeps_what_it_holds, guard_fixture)
{
    first_.hold(400, client_stage::waiting);
    second_.hold(400, client_stage::waiting);
    third_.hold(200, client_stage::sending);
    BOOST_TEST(!guard_.make_room(100, third_.client()));
    BOOST_TEST(reclaimed_.empty());
    BOOST_TEST(guard_.make_room(100, nullptr));
    BOOST_TEST((reclaimed_ == std::vector<std::string>{"third"}));
}

BOOST_FIXTURE_TEST_CASE(a_new_connection_displaces_the_one_that_was_idle_for_the_longest_time,
                        guard_fixture)
{
    first_.hold(10, client_stage::sending);
    BOOST_TEST(guard_.admit_connection());
    BOOST_TEST((reclaimed_ == std::vector<std::string>{"second"}));
    BOOST_TEST(count(reclaim_reason::connections) == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_new_connection_is_refused_if_all_wait_for_responses, guard_fixture)
{
    for (auto* client : {&first_, &second_, &third_}) {
        client->hold(10, client_stage::waiting);
    }
    BOOST_TEST(!guard_.admit_connection());
    BOOST_TEST(reclaimed_.empty());
    BOOST_TEST(count(reclaim_reason::connections) == 1U);
}

BOOST_FIXTURE_TEST_CASE(queues_shrink_while_memory_is_tight, guard_fixture)
{
    constexpr std::size_t calm_bytes = 256U * 1024;
    first_.hold(limit / 2, client_stage::sending);
    BOOST_TEST(guard_.queue_limit(calm_bytes) == calm_bytes);
    first_.hold(limit / 2 + 1, client_stage::sending);
    BOOST_TEST(guard_.queue_limit(calm_bytes) < calm_bytes);
}
