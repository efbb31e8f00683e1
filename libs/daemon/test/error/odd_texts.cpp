// Random damage to what a process reads from others: texts of the product's own interface and of
// operators, and the bytes of messages.
#include <boost/test/unit_test.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include "consensus/raft_message.h"
#include "control/control_command.h"
#include "control/control_snapshot.h"
#include "daemon/announcement_json.h"
#include "daemon/operator_json.h"
#include "distribution/distribution_message.h"
#include "standin/odd_json.h"
#include "table/table_check.h"

using namespace sycamorewinch;

namespace {

auto parse_object(const std::string& text) -> std::optional<QJsonObject>
{
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
    return document.isObject() ? std::optional(document.object()) : std::nullopt;
}

/** Returns \p bytes with some bytes changed, cut off or added. */
auto damage_bytes(std::string bytes, const random_hook& random) -> std::string
{
    for (auto left = 1 + uniform_below(random, 4); left > 0 && !bytes.empty(); --left) {
        const auto at = uniform_below(random, bytes.size());
        switch (uniform_below(random, 4)) {
        case 0:
            bytes.resize(at);
            break;
        case 1:
            bytes.insert(at, 1, static_cast<char>(random()));
            break;
        default:
            bytes[at] = static_cast<char>(random());
        }
    }
    return bytes;
}

/** Checks that \p decode refuses damaged bytes, or reads a value that is written and read again. */
template <typename Encode, typename Decode>
void check_damaged(const std::string& encoded, const Encode& encode, const Decode& decode,
                   const random_hook& random)
{
    BOOST_REQUIRE(decode(encoded).has_value());
    for (auto left = odd_text_count(); left > 0; --left) {
        const auto decoded = decode(damage_bytes(encoded, random));
        if (decoded) {
            BOOST_REQUIRE(decode(encode(*decoded)).has_value());
        }
    }
}

auto make_row() -> row
{
    row value{.service_ = "dialer", .host_ = "h.example", .path_prefix_ = "/dialer"};
    value.split_ = {{"a", 1}, {"b", 2}};
    value.named_limits_ = {{"desk", {1, 2, 3}}};
    value.timeout_ = std::chrono::milliseconds(500);
    value.depends_on_ = {"ledger"};
    return value;
}

} // namespace

BOOST_AUTO_TEST_CASE(odd_announcements_are_refused_or_can_be_read_by_every_process)
{
    const auto random = odd_text_random();
    const std::string valid = R"({"service":"ledger","target":"l1","address":"127.0.0.1:8080",)"
                              R"("slots":10,"version":"2.1","lease_ms":5000,"started":7,)"
                              R"("cold_start_ms":250,"draining":false})";
    target_registry registry("zone-a", "127.0.0.1:1", 5);
    std::uint64_t accepted = 0;
    for (auto left = odd_text_count(); left > 0; --left) {
        const auto object = parse_object(damage_json(valid, random));
        const auto announcement =
            object ? read_announcement(*object) : failure(error_kind::invalid_input, "no object");
        if (announcement) {
            ++accepted;
            registry.announce(*announcement, instant());
            const auto records = registry.records();
            const auto received =
                decode_distribution_message(encode_message(target_report{records, true}));
            BOOST_REQUIRE(received.has_value());
            BOOST_REQUIRE((std::get<target_report>(*received).targets_ == records));
        }
    }
    BOOST_TEST(accepted > 0U);
}

BOOST_AUTO_TEST_CASE(odd_edits_are_refused_or_can_be_read_by_every_replica)
{
    const auto random = odd_text_random();
    const auto base = make_table(0, {});
    const std::string valid =
        R"({"edit_id":"e1","operator":"ann","base":{"number":0,"digest":")" +
        to_hex(base.version_.digest_) +
        R"("},"csv":"service,path_prefix,weights,rate,burst,concurrency,callers,timeout_ms,)"
        R"(retries,repeatable,depends_on,split\nledger,/ledger,,10,20,0,desk=1/2/3,500,1,yes,,)"
        R"(a=1;b=2\n"})";
    std::uint64_t accepted = 0;
    for (auto left = odd_text_count(); left > 0; --left) {
        const auto object = parse_object(damage_json(valid, random));
        const auto command = object ? read_accept_command(*object, base)
                                    : failure(error_kind::invalid_input, "no object");
        if (command) {
            BOOST_REQUIRE(decode_accept_command(encode_command(*command)).has_value());
            control_state state;
            accepted += state.tables_.apply(*command).status_ == accept_status::accepted ? 1 : 0;
            BOOST_REQUIRE(decode_state(encode_state(state), state_limits()).has_value());
        }
    }
    BOOST_TEST(accepted > 0U);
}

BOOST_AUTO_TEST_CASE(damaged_messages_are_refused)
{
    const auto random = odd_text_random();
    const target_record target{.service_ = "dialer", .target_ = "d1"};
    const auto encode = [](const auto& message) {
        return encode_message(message);
    };
    const auto decode = [](const auto& bytes) {
        return decode_distribution_message(bytes);
    };
    const table_update update{{}, {1, {1, 2}}, {{make_row()}, {"gone"}}};
    for (const auto& message : std::vector<distribution_message>{
             target_report{{target, target}, true}, update,
             progress_report{{{"zone-a", 1, 2, 3, {"node-1"}}}},
             rollout_update{{1, {{"dialer", "v1", 1, rollout_state::running, 100}}}}}) {
        check_damaged(encode_message(message), encode, decode, random);
    }
    raft_message append;
    append.entries_ = {{1, 1, entry_kind::command, "x"}};
    check_damaged(encode_message(append), encode, decode_raft_message, random);
}

BOOST_AUTO_TEST_CASE(damaged_commands_and_states_are_refused)
{
    const auto random = odd_text_random();
    accept_command command{"e1", "ann", {}, {{make_row()}, {"gone"}}};
    check_damaged(
        encode_command(command), [](const auto& value) { return encode_command(value); },
        decode_accept_command, random);
    const accept_outcome outcome{accept_status::conflict,
                                 {1, {1, 2}},
                                 {{"dialer", table_column::split, "a=1", "b=1"}},
                                 "message"};
    check_damaged(encode_outcome(outcome), encode_outcome, decode_accept_outcome, random);
    control_state state;
    command.base_ = state.tables_.current()->version_;
    static_cast<void>(state.tables_.apply(command));
    check_damaged(
        encode_state(state), encode_state,
        [](const auto& bytes) { return decode_state(bytes, state_limits()); }, random);
}
