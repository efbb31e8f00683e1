#include <boost/test/unit_test.hpp>

#include "membership/target_leases.h"

using namespace sycamorewinch;

namespace {

constexpr duration period = std::chrono::milliseconds(500);

/** Targets t0, t1, ... of one service; target n is vouched for by holder n. */
struct held_targets {
    target_directory directory_;
    target_leases leases_;
    instant now_{};

    explicit held_targets(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const target_record one{.service_ = "dialer",
                                    .target_ = "t" + std::to_string(index),
                                    .incarnation_ = 1,
                                    .sequence_ = 1};
            directory_.merge(one);
            leases_.hold(one, index, false);
        }
        pass(period, true);
    }

    auto pass(duration span, bool is_joined) -> std::size_t
    {
        std::size_t gone = 0;
        for (const auto end = now_ + span; now_ < end;) {
            now_ += period;
            for (const auto& record : leases_.tick(now_, is_joined, directory_)) {
                BOOST_TEST((record.state_ == target_state::gone));
                directory_.merge(record);
                ++gone;
            }
        }
        return gone;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_target_without_its_node_is_gone_after_its_lease)
{
    held_targets held(5);
    held.leases_.on_holder_gone(3, held.now_);
    BOOST_TEST(held.pass(std::chrono::seconds(9), true) == 0U);
    BOOST_TEST(held.pass(std::chrono::seconds(2), true) == 1U);
    BOOST_TEST((held.directory_.find("dialer", "t3")->state_ == target_state::gone));
}

BOOST_AUTO_TEST_CASE(many_leases_lost_at_once_are_kept)
{
    held_targets held(5);
    for (lease_holder holder = 0; holder < 4; ++holder) {
        held.leases_.on_holder_gone(holder, held.now_);
    }
    BOOST_TEST(held.pass(std::chrono::minutes(1), true) == 0U);
    BOOST_TEST(held.leases_.stale_count() == 4U);
}

BOOST_AUTO_TEST_CASE(the_last_target_of_a_service_is_never_taken_away)
{
    held_targets held(3);
    for (lease_holder holder = 0; holder < 3; ++holder) {
        held.leases_.on_holder_gone(holder, held.now_);
    }
    BOOST_TEST(held.pass(std::chrono::minutes(10), true) == 2U);
}

BOOST_AUTO_TEST_CASE(a_process_cut_off_itself_ends_no_lease)
{
    held_targets held(5);
    held.leases_.on_holder_gone(3, held.now_);
    BOOST_TEST(held.pass(std::chrono::minutes(10), false) == 0U);
}

BOOST_AUTO_TEST_CASE(a_process_that_was_stopped_ends_no_lease_at_once)
{
    held_targets held(5);
    held.leases_.on_holder_gone(3, held.now_);
    held.now_ += std::chrono::minutes(10);
    BOOST_TEST(held.pass(std::chrono::seconds(5), true) == 0U);
}

BOOST_AUTO_TEST_CASE(a_target_that_moved_is_not_taken_away_by_its_old_holder)
{
    held_targets held(5);
    held.leases_.on_holder_gone(3, held.now_);
    held.leases_.release(*held.directory_.find("dialer", "t3"));
    BOOST_TEST(held.pass(std::chrono::minutes(10), true) == 0U);
}
