#include <boost/test/unit_test.hpp>

#include "membership/target_leases.h"

using namespace sycamorewinch;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(500);

/** Targets t0, t1, ... of one service; holder n holds the lease of target n. */
struct leased_targets {
    target_directory directory_;
    target_leases leases_;
    instant now_{};

    explicit leased_targets(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const target_record target{.service_ = "dialer",
                                       .target_ = "t" + std::to_string(index),
                                       .incarnation_ = 1,
                                       .sequence_ = 1};
            directory_.merge(target);
            leases_.hold(target, index, false);
        }
        advance(tick_interval, true);
    }

    /** Advances the time by \p span in ticks; returns how many targets were declared gone. */
    auto advance(duration span, bool has_upstream_contact) -> std::size_t
    {
        std::size_t gone = 0;
        for (const auto end = now_ + span; now_ < end;) {
            now_ += tick_interval;
            for (const auto& record : leases_.tick(now_, has_upstream_contact, directory_)) {
                BOOST_TEST((record.state_ == target_state::gone));
                directory_.merge(record);
                ++gone;
            }
        }
        return gone;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_target_is_gone_when_the_lease_of_its_disconnected_node_expires)
{
    leased_targets held(5);
    held.leases_.on_holder_disconnected(3, held.now_);
    BOOST_TEST(held.advance(std::chrono::seconds(9), true) == 0U);
    BOOST_TEST(held.advance(std::chrono::seconds(2), true) == 1U);
    BOOST_TEST((held.directory_.find("dialer", "t3")->state_ == target_state::gone));
}

BOOST_AUTO_TEST_CASE(a_mass_disconnection_extends_the_leases)
{
    leased_targets held(5);
    for (lease_holder holder = 0; holder < 4; ++holder) {
        held.leases_.on_holder_disconnected(holder, held.now_);
    }
    BOOST_TEST(held.advance(std::chrono::minutes(1), true) == 0U);
    BOOST_TEST(held.leases_.stale_count() == 4U);
}

BOOST_AUTO_TEST_CASE(the_last_target_of_a_service_never_expires)
{
    leased_targets held(3);
    for (lease_holder holder = 0; holder < 3; ++holder) {
        held.leases_.on_holder_disconnected(holder, held.now_);
    }
    BOOST_TEST(held.advance(std::chrono::minutes(10), true) == 2U);
}

BOOST_AUTO_TEST_CASE(a_partitioned_process_expires_no_lease)
{
    leased_targets held(5);
    held.leases_.on_holder_disconnected(3, held.now_);
    BOOST_TEST(held.advance(std::chrono::minutes(10), false) == 0U);
}

BOOST_AUTO_TEST_CASE(a_resumed_process_does_not_expire_leases_immediately)
{
    leased_targets held(5);
    held.leases_.on_holder_disconnected(3, held.now_);
    held.now_ += std::chrono::minutes(10);
    BOOST_TEST(held.advance(std::chrono::seconds(5), true) == 0U);
}

BOOST_AUTO_TEST_CASE(a_target_that_moved_does_not_expire_at_its_old_process)
{
    leased_targets held(5);
    held.leases_.on_holder_disconnected(3, held.now_);
    held.leases_.release(*held.directory_.find("dialer", "t3"));
    BOOST_TEST(held.advance(std::chrono::minutes(10), true) == 0U);
}
