#include <boost/test/unit_test.hpp>

#include <QJsonDocument>

#include "../raw_http_client.h"
#include "daemon/operator_api.h"
#include "daemon/operator_json.h"
#include "table/table_csv.h"

using namespace sycamorewinch;
using namespace sycamorewinch::testing;

namespace {

/** The operator API of a Raft group with one replica, which is the leader. Nothing is written to
 * disk; fill_disk() simulates a full one. */
class single_replica_server {
  public:
    single_replica_server()
    {
        ensure_event_loop();
        raft_options options{.self_ = "a", .voters_ = {"a"}};
        options.random_ = seeded_random(1);
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
        replica_ = std::make_unique<control_replica>(
            control_replica::create(options, {}, hooks, instant{}).value());
        replica_->tick(instant{} + std::chrono::seconds(1));
        server_ = std::make_unique<admin_server>(metrics_, /*token=*/"",
                                                 /*is_ready=*/[] { return true; });
        operator_api_hooks api;
        api.replica_ = [this]() -> control_replica& {
            return *replica_;
        };
        api.progress_ = [] {
            return std::vector<zone_progress>{};
        };
        api.silent_replicas_ = [] {
            return std::vector<std::string>{};
        };
        api.targets_ = [] {
            return std::vector<target_record>{};
        };
        add_operator_api(*server_, api);
        BOOST_REQUIRE(server_->listen({"127.0.0.1", 0}).has_value());
    }

    /** Sends one request and returns the whole response. */
    auto send_request(const std::string& method_and_path, const std::string& body = {})
        -> std::string
    {
        raw_http_client client(server_->port());
        return client.send_request(method_and_path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /** Submits a whole table of \p rows as an edit and returns the response. */
    auto submit_edit(const std::string& edit_id, const table_version& base, const std::string& rows)
        -> std::string
    {
        const std::string header_line =
            "service,path_prefix,weights,rate,burst,concurrency,callers,"
            "timeout_ms,retries,repeatable,depends_on\n";
        const QJsonObject body{{"edit_id", to_json(edit_id)},
                               {"operator", "ann"},
                               {"base", to_json(base)},
                               {"csv", to_json(header_line + rows)}};
        return send_request("POST /v1/table/accept",
                            QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
    }

    auto current_version() -> table_version { return replica_->state().current()->version_; }

    /** Makes every further append to the log fail. */
    void fill_disk() { disk_is_full_ = true; }

  private:
    bool disk_is_full_ = false;
    metrics_registry metrics_;
    std::unique_ptr<control_replica> replica_;
    std::unique_ptr<admin_server> server_;
};

auto contains(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_resent_edit_creates_only_one_version)
{
    single_replica_server server;
    const auto base = server.current_version();
    BOOST_TEST(contains(server.submit_edit("e1", base, "a,/a,,0,0,0,,1,0,no,\n"), " 200 "));
    BOOST_TEST(contains(server.submit_edit("e1", base, "a,/a,,0,0,0,,1,0,no,\n"), " 200 "));
    BOOST_TEST(server.current_version().number_ == 1);
    BOOST_TEST(contains(server.send_request("GET /v1/table/history"), "\"edit_id\":\"e1\""));
}

BOOST_AUTO_TEST_CASE(a_base_with_the_current_number_but_another_digest_is_a_conflict)
{
    single_replica_server server;
    auto base = server.current_version();
    base.digest_.low_ ^= 1U;
    const auto response = server.submit_edit("e1", base, "a,/a,,0,0,0,,1,0,no,\n");
    BOOST_TEST(contains(response, " 409 "));
    BOOST_TEST(contains(response, "\"status\":\"conflict\""));
    BOOST_TEST(server.current_version().number_ == 0);
}

BOOST_AUTO_TEST_CASE(an_invalid_table_is_rejected_naming_the_row_and_column)
{
    single_replica_server server;
    BOOST_TEST(
        contains(server.submit_edit("e1", server.current_version(), "a,/a,,0,0,0,,1,0,no,b\n"),
                 "a, column depends_on: 'b' is no service"));
    BOOST_TEST(
        contains(server.submit_edit("e2", server.current_version(), "a,/a,,x,0,0,,1,0,no,\n"),
                 "line 2, column rate"));
    BOOST_TEST(server.current_version().number_ == 0);
}

BOOST_AUTO_TEST_CASE(malformed_edits_and_unknown_paths_are_rejected)
{
    single_replica_server server;
    BOOST_TEST(contains(server.send_request("POST /v1/table/accept", "[]"), " 400 "));
    BOOST_TEST(
        contains(server.send_request("POST /v1/table/accept", "{\"edit_id\":\"\"}"), " 400 "));
    BOOST_TEST(contains(server.send_request("GET /v1/nothing"), " 404 "));
}

BOOST_AUTO_TEST_CASE(an_edit_that_cannot_be_stored_is_answered_with_unavailable)
{
    single_replica_server server;
    server.fill_disk();
    const auto response =
        server.submit_edit("e1", server.current_version(), "a,/a,,0,0,0,,1,0,no,\n");
    BOOST_TEST(contains(response, " 503 "));
    BOOST_TEST(contains(response, "unavailable"));
}

BOOST_AUTO_TEST_CASE(an_edit_by_csv_keeps_the_organisations_and_bounds_of_the_table)
{
    connection_bounds bounds;
    bounds.header_bytes_ = 4'096;
    const auto current = make_table(3, {}, bounds, {{.name_ = "acme"}});
    const QJsonObject request{
        {"edit_id", "e1"},
        {"operator", "ann"},
        {"base", to_json(current.version_)},
        {"csv", to_json(write_csv({{.service_ = "a", .path_prefix_ = "/a"}}))}};
    const auto command = read_accept_command(request, current);
    BOOST_REQUIRE(command.has_value());
    const auto next = apply_change(current, command->change_, 4);
    BOOST_TEST(next.rows_.size() == 1U);
    BOOST_TEST((next.bounds_ == bounds));
    BOOST_TEST(next.find_organisation("acme") != nullptr);
}

BOOST_AUTO_TEST_CASE(organisations_are_listed_without_their_keys)
{
    const organisation acme{"acme", {digest_of_api_key("k1")}, 7'500, 15, 1};
    const auto json = to_json(acme);
    BOOST_TEST(QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString() ==
               R"({"burst":15,"keys":1,"name":"acme","per_second":7.5,"priority":1})");
    BOOST_TEST(!to_json(organisation{.name_ = "b"}).contains(QLatin1String("per_second")));
}
