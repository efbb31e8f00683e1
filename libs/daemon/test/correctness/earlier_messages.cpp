// The encodings that processes of the version before the limits of decoders were removed exchange
// with this one. The digests were computed by a build of that version.
#include <boost/test/unit_test.hpp>

#include "consensus/raft_message.h"
#include "control/control_command.h"
#include "control/control_snapshot.h"
#include "distribution/distribution_message.h"
#include "run_record/run_operation.h"

using namespace sycamorewinch;

namespace {

auto make_row() -> row
{
    row value{.service_ = "dialer", .host_ = "h.example", .path_prefix_ = "/dialer"};
    value.split_ = {{"a", 1}, {"b", 2}};
    value.named_limits_ = {{"desk", {1, 2, 3}}};
    value.default_limit_ = {4, 5, 6};
    value.timeout_ = std::chrono::milliseconds(500);
    value.retries_ = 2;
    value.repeatable_ = true;
    value.priority_ = 1;
    value.target_latency_ = std::chrono::milliseconds(300);
    value.depends_on_ = {"ledger"};
    return value;
}

auto make_target() -> target_record
{
    target_record record{.service_ = "dialer", .target_ = "d1"};
    record.availability_zone_ = "zone-a";
    record.node_address_ = "10.0.0.1:7000";
    record.node_admin_ = "10.0.0.1:7001";
    record.incarnation_ = 1;
    record.sequence_ = 2;
    record.slots_ = 10;
    record.cold_start_ = std::chrono::milliseconds(250);
    record.started_ = 3;
    record.software_version_ = "v1";
    return record;
}

auto make_messages() -> std::vector<distribution_message>
{
    return {subscribe{"node-1", "zone-a", false, {1, {2, 3}}},
            table_update{{}, {1, {2, 3}}, {{make_row()}, {"gone"}, connection_bounds{1, 2}}},
            currency_request{7, true},
            currency_proof{7, 1, 250, 3},
            progress_report{{{"zone-a", 1, 2, 3, {"node-1"}}}},
            target_report{{make_target(), make_target()}, true},
            target_summary{{1, 2, 3}},
            target_sync{{{1, 2}, {make_target()}}},
            crash_report{{{crash_event::crashed, {1}, {2, 3}, "dialer/d1"}}},
            publisher_list{{{"zone-a", "10.0.0.2:7000"}}},
            rollout_update{{1, {{"dialer", "v2", 1, rollout_state::running, 100}}}},
            version_report{{{"dialer", "v1", "r", 1, 2, 3}}, {{"dialer", "v1", 1, 2}}}};
}

auto make_command() -> accept_command
{
    accept_command command{"e1", "ann", {1, {2, 3}}, {{make_row()}, {"gone"}}};
    command.number_ = 7;
    command.document_ = "document";
    return command;
}

auto hex_digest(std::string_view bytes) -> std::string
{
    return to_hex(digest_of(bytes));
}

} // namespace

BOOST_AUTO_TEST_CASE(distribution_messages_have_the_bytes_of_the_earlier_version)
{
    std::string all;
    for (const auto& message : make_messages()) {
        const auto bytes = encode_message(message);
        BOOST_TEST(decode_distribution_message(bytes).has_value());
        all += bytes;
    }
    BOOST_TEST(hex_digest(all) == "8aff1c9750c252c45159b733ee6f8804");
}

BOOST_AUTO_TEST_CASE(log_entries_and_snapshots_have_the_bytes_of_the_earlier_version)
{
    raft_message append;
    append.from_ = "10.0.0.1:7000";
    append.to_ = "10.0.0.2:7000";
    append.entries_ = {{1, 1, entry_kind::command,
                        encode_command(control_command{command_kind::accept_table,
                                                       encode_command(make_command())})}};
    BOOST_TEST(hex_digest(encode_message(append)) == "5c5b51a785480200c16e999384a2f3d7");
    const run_batch batch{
        7, {{run_operation_kind::finish, {0, {1, 2}}, {3, 4}, 5, "n1", 6, "answer"}}};
    BOOST_TEST(hex_digest(encode_run_batch(batch)) == "4f3ffccbe72f35805043105e7de08488");
    control_state state;
    auto command = make_command();
    command.base_ = state.tables_.current()->version_;
    command.document_.clear();
    command.change_.upserts_.front().depends_on_.clear();
    BOOST_TEST((state.tables_.apply(command).status_ == accept_status::accepted));
    BOOST_TEST(hex_digest(encode_state(state)) == "c708258659b98ac584acb0cf30ecbb58");
}
