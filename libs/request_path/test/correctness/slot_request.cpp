// Requests for the slots of one target, without a network.
#include <boost/test/unit_test.hpp>

#include "request_path/slot_request.h"

using namespace sycamorewinch;

namespace {

using std::chrono::milliseconds;

/** A target with \p slots slots, whose rows take \p long_time and \p short_time. */
struct target_fixture {
    std::shared_ptr<admission_controller> admission_;
    std::shared_ptr<target_meter> meter_ = std::make_shared<target_meter>();
    std::shared_ptr<slot_reservation> reservation_ = std::make_shared<slot_reservation>();
    wait_queue queue_;

    static constexpr duration long_time = milliseconds(1'000);
    static constexpr duration short_time = milliseconds(10);

    explicit target_fixture(std::uint32_t slots)
        : admission_(std::make_shared<admission_controller>(slots))
    {
        queue_.record_service_time("long", long_time);
        queue_.record_service_time("short", short_time);
    }

    /** Requests a slot for a request of \p row; its events are appended to \p events. */
    auto request(const std::string& row, std::string& events,
                 duration latency_budget = milliseconds(10'000)) -> std::shared_ptr<slot_request>
    {
        slot_demand demand;
        demand.row_ = row;
        demand.latency_budget_ = latency_budget;
        demand.time_left_ = milliseconds(20'000);
        slot_hooks hooks{
            [&events, row] { events += row + " admitted;"; },
            [&events, row](refusal_reason reason, duration) {
                events += row + " " + std::string(name_of(reason)) + ";";
            },
        };
        auto created =
            std::make_shared<slot_request>(slot_source{admission_, meter_, reservation_, queue_},
                                           std::move(demand), std::move(hooks));
        created->start();
        return created;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_waiting_request_gets_the_slot_that_another_one_releases)
{
    target_fixture target(1);
    std::string events;
    const auto first = target.request("long", events);
    const auto second = target.request("long", events);
    BOOST_TEST(events == "long admitted;");
    BOOST_TEST(target.meter_->waiting() == 1U);
    first->release();
    BOOST_TEST(events == "long admitted;long admitted;");
    BOOST_TEST(target.meter_->waiting() == 0U);
    BOOST_TEST(target.admission_->in_flight() == 1U);
    second->release();
    BOOST_TEST(target.admission_->in_flight() == 0U);
}

// Guards against requests that wait although they cannot be served in time.
BOOST_AUTO_TEST_CASE(a_request_whose_wait_would_be_too_long_is_refused_at_once)
{
    target_fixture target(1);
    std::string events;
    const auto first = target.request("long", events);
    const auto second = target.request("long", events, target_fixture::long_time);
    BOOST_TEST(events == "long admitted;long target_full;");
    BOOST_TEST(target.queue_.size() == 0U);
}

// Guards against a hook that is called for a request whose caller has left.
BOOST_AUTO_TEST_CASE(a_released_request_leaves_the_queue_without_a_hook)
{
    target_fixture target(1);
    std::string events;
    const auto first = target.request("long", events);
    const auto second = target.request("long", events);
    second->release();
    first->release();
    BOOST_TEST(events == "long admitted;");
    BOOST_TEST(target.admission_->in_flight() == 0U);
}

// Guards against a free slot that a long request takes while short ones are about to need it, and
// against a queue in which a long request without a slot holds up a short one.
BOOST_AUTO_TEST_CASE(a_long_request_waits_for_slots_that_are_not_reserved)
{
    constexpr std::uint32_t slots = 2;
    target_fixture target(slots);
    std::string events;
    std::vector<std::shared_ptr<slot_request>> short_requests;
    for (int index = 0; index < 100; ++index) { // 100 a second of 10 ms need one slot
        short_requests.push_back(target.request("short", events));
        short_requests.back()->release();
    }
    events.clear();
    const auto first = target.request("long", events);
    const auto second = target.request("long", events);
    const auto third = target.request("short", events);
    BOOST_TEST(events == "long admitted;short admitted;");
    first->release();
    BOOST_TEST(events == "long admitted;short admitted;long admitted;");
}
