#include <boost/test/unit_test.hpp>

#include "../raw_http_client.h"
#include "daemon/rollout_api.h"
#include "daemon/rollout_service.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

namespace {

/** The roll-out service and its API in a Raft group of one replica, under virtual time. */
struct service_fixture {
    metrics_registry metrics_;
    instant now_ = instant{} + std::chrono::hours(1);
    bool disk_is_full_ = false;
    std::optional<error> not_ready_;
    std::vector<rollout_set> published_;
    std::vector<version_report> broadcast_;
    std::unique_ptr<rollout_service> service_;
    std::unique_ptr<control_replica> replica_;
    std::unique_ptr<admin_server> server_;

    service_fixture()
    {
        ensure_event_loop();
        service_ = std::make_unique<rollout_service>(
            metrics_,
            rollout_service_hooks{[this]() -> control_replica& { return *replica_; },
                                  [this](auto set) { published_.push_back(std::move(set)); },
                                  [this](const auto& report) { broadcast_.push_back(report); },
                                  [this] { return not_ready_; },
                                  [this] {
                                      return now_;
                                  }});
        raft_options options{.self_ = "a", .voters_ = {"a"}};
        options.random_ = seeded_random(1);
        replica_ = std::make_unique<control_replica>(
            control_replica::create(options, {}, make_hooks(), now_).value());
        advance(std::chrono::seconds(1));
        accept_table();
        server_ = std::make_unique<admin_server>(metrics_, /*token=*/"",
                                                 /*is_ready=*/[] { return true; });
        add_rollout_api(*server_, *service_, [this]() -> control_replica& { return *replica_; });
        BOOST_REQUIRE(server_->listen({"127.0.0.1", 0}).has_value());
    }

    auto make_hooks() -> control_hooks
    {
        control_hooks hooks;
        hooks.save_vote_ = [](const auto&) {
            return result<void>();
        };
        hooks.truncate_after_ = [](auto) {
            return result<void>();
        };
        hooks.append_ = [this](const auto&) {
            return disk_is_full_ ? failure(error_kind::io, "no space left") : result<void>();
        };
        hooks.send_ = [](const auto&) {
        };
        hooks.on_table_ = [](const auto&) {
        };
        hooks.on_disk_failure_ = [](const auto&) {
        };
        hooks.on_rollouts_ = [this](const auto& rollouts) {
            service_->on_rollouts(rollouts);
        };
        return hooks;
    }

    /** Accepts a row of the service desk and a row that sends its calls to blue and green. */
    void accept_table()
    {
        row plain;
        plain.service_ = "desk";
        plain.path_prefix_ = "/desk";
        plain.timeout_ = std::chrono::seconds(1);
        auto split = plain;
        split.service_ = "mixed";
        split.path_prefix_ = "/mixed";
        split.split_ = {{"blue", 1}, {"green", 1}};
        accept_command command;
        command.edit_id_ = "e";
        command.base_ = replica_->state().current()->version_;
        command.change_.upserts_ = {plain, split};
        std::string problem = "not answered";
        replica_->accept(
            command, [&problem](const auto& outcome) { problem = outcome->message_; }, now_);
        BOOST_REQUIRE_EQUAL(problem, "");
    }

    void advance(duration time)
    {
        now_ += time;
        replica_->tick(now_);
        service_->plan();
    }

    auto order(const std::string& service, const std::string& version = "2",
               duration time = std::chrono::seconds(16)) -> result<void>
    {
        result<void> acknowledged = failure(error_kind::corrupt, "not answered");
        service_->order({service, version, time},
                        [&acknowledged](const auto& given) { acknowledged = given; });
        return acknowledged;
    }

    auto read(const std::string& service) -> result<rollout_record>
    {
        result<rollout_record> record = failure(error_kind::corrupt, "not answered");
        service_->read(service, [&record](const auto& given) { record = given; });
        return record;
    }

    auto send_request(const std::string& method, const std::string& body = {}) -> std::string
    {
        raw_http_client client(server_->port());
        return client.send_request(method +
                                   " /v1/rollouts HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body);
    }
};

auto contains(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(an_order_is_committed_and_published, service_fixture)
{
    BOOST_TEST((read("desk").error().kind_ == error_kind::not_found));
    BOOST_TEST(order("desk").has_value());
    BOOST_REQUIRE(published_.size() == 1U);
    BOOST_TEST(published_[0].find("desk")->share_ == initial_rollout_share);
    BOOST_TEST(order("desk").has_value()); // resent
    BOOST_TEST(published_.size() == 1U);
    BOOST_TEST((order("desk", "3").error().kind_ == error_kind::conflict));
    BOOST_TEST((read("desk").value().rollout_.state_ == rollout_state::running));
}

// The name of a row whose calls all go to other services is no destination.
BOOST_FIXTURE_TEST_CASE(only_destinations_of_the_table_have_rollouts, service_fixture)
{
    BOOST_TEST((order("other").error().kind_ == error_kind::not_found));
    BOOST_TEST((order("mixed").error().kind_ == error_kind::not_found));
    BOOST_TEST(order("green").has_value());
}

BOOST_FIXTURE_TEST_CASE(invalid_orders_change_nothing, service_fixture)
{
    for (const auto& acknowledged :
         {order("desk", ""), order("", "2"), order("desk", "2", duration::zero()),
          order("desk", std::string(max_rollout_name_bytes + 1, 'v')),
          order("desk", "2", max_rollout_duration + std::chrono::seconds(1))}) {
        BOOST_TEST((acknowledged.error().kind_ == error_kind::invalid_input));
    }
    BOOST_TEST(published_.empty());
}

// An order that is acknowledged before the group has all its voters could be lost with one disk.
BOOST_FIXTURE_TEST_CASE(orders_are_refused_until_the_group_is_ready, service_fixture)
{
    not_ready_ = error{error_kind::unavailable, "joining"};
    BOOST_TEST((order("desk").error().kind_ == error_kind::unavailable));
    not_ready_.reset();
    disk_is_full_ = true;
    BOOST_TEST((order("desk").error().kind_ == error_kind::unavailable));
    BOOST_TEST(published_.empty());
}

BOOST_FIXTURE_TEST_CASE(a_bad_version_is_rolled_back_by_what_nodes_report, service_fixture)
{
    BOOST_TEST(order("desk").has_value());
    const version_report report{{{"desk", "1", "r", 95, 0, 0}, {"desk", "2", "r", 5, 3, 0}},
                                {{"desk", "1", 4, 10}, {"desk", "2", 1, 10}}};
    for (int round = 0; round < 8; ++round) {
        service_->on_own_report(report);
        service_->on_report("b", report);
        advance(std::chrono::milliseconds(250));
    }
    BOOST_TEST(broadcast_.size() == 8U);
    const auto record = read("desk").value();
    BOOST_TEST((record.rollout_.state_ == rollout_state::rolled_back));
    BOOST_TEST(contains(record.steps_.back().reason_, "responses failed"));
    BOOST_TEST((published_.back().find("desk")->state_ == rollout_state::rolled_back));
    BOOST_TEST(order("desk").has_value()); // resent: acknowledged, and nothing starts
    BOOST_TEST((read("desk").value().rollout_.state_ == rollout_state::rolled_back));
    advance(std::chrono::seconds(11));
    BOOST_TEST(order("desk").has_value());
    BOOST_TEST((read("desk").value().rollout_.state_ == rollout_state::running));
}

BOOST_FIXTURE_TEST_CASE(the_admin_api_orders_and_lists, service_fixture)
{
    BOOST_TEST(contains(send_request("GET"), R"({"rollouts":[]})"));
    BOOST_TEST(contains(send_request("POST", "{}"), " 400 "));
    BOOST_TEST(contains(send_request("POST", R"({"service":"x","version":"2","duration_s":16})"),
                        " 404 "));
    BOOST_TEST(contains(send_request("POST", R"({"service":"desk","version":"2","duration_s":16})"),
                        " 200 "));
    BOOST_TEST(contains(send_request("POST", R"({"service":"desk","version":"3","duration_s":16})"),
                        " 409 "));
    const auto listed = send_request("GET");
    BOOST_TEST(contains(listed, R"("state":"running")"), listed);
    BOOST_TEST(contains(listed, R"("reason":"ordered")"), listed);
}
