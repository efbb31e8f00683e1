// Every encoder of a message, log entry or stored record with its decoder: what the one writes, the
// other reads, whatever the lengths of names and lists. A value that only one of them accepts would
// end a channel or a replica.
#include <boost/test/unit_test.hpp>

#include <array>
#include <set>

#include "consensus/group_membership.h"
#include "consensus/log_entry_codec.h"
#include "consensus/raft_message.h"
#include "control/control_command.h"
#include "control/control_snapshot.h"
#include "distribution/distribution_message.h"
#include "quota/quota_message.h"
#include "request_path/unrepeatable_run.h"
#include "rollout/rollout_records.h"
#include "table/row_codec.h"

using namespace sycamorewinch;

namespace {

/** Draws values of every length that has ever been a limit, one above it, and far more. */
class value_source {
  public:
    explicit value_source(std::uint64_t seed) : random_(seeded_random(seed)) {}

    auto text() -> std::string
    {
        constexpr std::array<std::size_t, 10> lengths{0, 1, 12, 64, 65, 160, 161, 256, 257, 70'000};
        std::string text(lengths.at(below(below(20) == 0 ? lengths.size() : lengths.size() - 1)),
                         'x');
        return below(2) == 0 ? text : text + "\xc3\xa9\xe2\x82\xac";
    }
    /** Returns a name of at most \p max_bytes. */
    auto name(std::size_t max_bytes = max_name_bytes) -> std::string
    {
        return std::string(below(max_bytes + 1), 'n');
    }
    auto bytes() -> std::string { return text() + std::string("\0\xff", 2); }
    auto number() -> std::uint64_t { return random_() >> below(64); }
    auto number32() -> std::uint32_t { return static_cast<std::uint32_t>(number()); }
    auto boolean() -> bool { return below(2) == 0; }
    auto below(std::uint64_t bound) -> std::uint64_t { return uniform_below(random_, bound); }
    auto milliseconds() -> std::chrono::milliseconds
    {
        return std::chrono::milliseconds(number32());
    }
    auto digest_value() -> digest { return {random_(), random_()}; }
    auto version() -> table_version { return {number(), digest_value()}; }

    template <typename Make>
    auto list(const Make& make) -> std::vector<decltype(make())>
    {
        constexpr std::array<std::size_t, 5> lengths{0, 1, 2, 65, 257};
        const bool is_long = below(100) == 0;
        std::vector<decltype(make())> items(is_long ? 3'000 : lengths.at(below(lengths.size())));
        for (auto& item : items) {
            item = make();
        }
        return items;
    }
    auto names() -> std::vector<std::string>
    {
        return list([this] { return name(200); });
    }

  private:
    random_hook random_;
};

auto make_limit(value_source& source) -> caller_limit
{
    return {source.number32(), source.number32(), source.number32()};
}

auto make_row(value_source& source) -> row
{
    row value;
    value.service_ = source.text();
    value.host_ = source.text();
    value.path_prefix_ = source.text();
    value.split_ = source.list([&] { return service_share{source.name(), source.number32()}; });
    value.weights_ = source.list([&] {
        return traffic_weight{source.boolean() ? weight_scope::target
                                               : weight_scope::availability_zone,
                              source.name(), source.number32()};
    });
    value.default_limit_ = make_limit(source);
    value.named_limits_ = source.list([&] {
        return named_limit{source.name(), make_limit(source)};
    });
    value.timeout_ = source.milliseconds();
    value.retries_ = source.number32();
    value.repeatable_ = source.boolean();
    value.priority_ = source.number32();
    value.target_latency_ = source.milliseconds();
    value.depends_on_ = source.names();
    value.allow_anonymous_ = source.boolean();
    return value;
}

auto make_organisation(value_source& source) -> organisation
{
    organisation value{source.text(),
                       source.list([&] { return source.digest_value(); }),
                       source.number(),
                       source.number(),
                       {}};
    if (source.boolean()) {
        value.priority_ = source.number32();
    }
    return value;
}

auto make_bounds(value_source& source) -> connection_bounds
{
    return {source.number32(), source.number(), source.milliseconds(), source.milliseconds()};
}

auto make_change(value_source& source) -> table_change
{
    table_change change;
    for (auto left = source.below(3); left > 0; --left) {
        change.upserts_.push_back(make_row(source));
    }
    change.removals_ = source.names();
    if (source.boolean()) {
        change.bounds_ = make_bounds(source);
    }
    if (source.boolean()) {
        change.organisation_upserts_ = {make_organisation(source)};
        change.organisation_removals_ = source.names();
    }
    return change;
}

/** Returns a record as nodes admit it (see announcement_problem()). */
auto make_target(value_source& source) -> target_record
{
    target_record record;
    record.service_ = source.name();
    record.target_ = source.name();
    record.availability_zone_ = source.name();
    record.node_address_ = source.name();
    record.node_admin_ = source.name();
    record.incarnation_ = source.number();
    record.sequence_ = source.number();
    record.state_ = static_cast<target_state>(source.below(3));
    record.slots_ = source.number32();
    record.cold_start_ = source.milliseconds();
    record.started_ = source.number();
    record.left_start_ = source.number();
    record.software_version_ = source.name(max_software_version_bytes);
    return record;
}

auto make_targets(value_source& source) -> std::vector<target_record>
{
    return source.list([&] { return make_target(source); });
}

auto make_zone(value_source& source) -> zone_progress
{
    return {source.text(), source.number(), source.number(), source.number(), source.names()};
}

auto make_crash(value_source& source) -> crash_record
{
    return {source.boolean() ? crash_event::crashed : crash_event::answered,
            {source.number()},
            source.digest_value(),
            source.text()};
}

auto make_share(value_source& source) -> std::uint32_t
{
    return static_cast<std::uint32_t>(source.below(whole_share + 1));
}

auto make_rollout_state(value_source& source) -> rollout_state
{
    return static_cast<rollout_state>(source.below(3));
}

auto make_rollout_set(value_source& source) -> rollout_set
{
    rollout_set set{source.number(), {}};
    std::set<std::string> services;
    for (auto left = source.below(300); left > 0; --left) {
        services.insert(source.name(200));
    }
    for (const auto& service : services) {
        set.rollouts_.push_back({service, source.text(), source.number(),
                                 make_rollout_state(source), make_share(source)});
    }
    return set;
}

auto make_version_report(value_source& source) -> version_report
{
    return {source.list([&] {
                return version_sample{source.text(),   source.name(),   source.name(),
                                      source.number(), source.number(), source.number()};
            }),
            source.list([&] {
                return version_load{source.name(), source.text(), source.number(), source.number()};
            })};
}

/** Returns one message of each kind. */
auto make_messages(value_source& source) -> std::vector<distribution_message>
{
    constexpr std::uint64_t max_age_ms = 3'600'000; // a greater one has the same effect
    return {
        subscribe{source.text(), source.text(), source.boolean(), source.version()},
        table_update{source.version(), source.version(), make_change(source)},
        currency_request{source.number(), source.boolean()},
        currency_proof{source.number(), source.number(), source.below(max_age_ms), source.number()},
        progress_report{source.list([&] { return make_zone(source); })},
        target_report{make_targets(source), source.boolean()},
        target_summary{source.list([&] { return source.number32(); })},
        target_sync{
            {source.list([&] { return std::size_t{source.number()}; }), make_targets(source)}},
        crash_report{source.list([&] { return make_crash(source); })},
        publisher_list{source.list([&] {
            return publisher_address{source.text(), source.text()};
        })},
        rollout_update{make_rollout_set(source)},
        make_version_report(source)};
}

auto make_operation(value_source& source) -> run_operation
{
    return {static_cast<run_operation_kind>(source.below(run_operation_kind_count)),
            {source.number32(), source.digest_value()},
            source.digest_value(),
            source.number(),
            source.text(),
            source.number(),
            source.bytes().substr(0, max_outcome_bytes)};
}

auto make_command(value_source& source) -> accept_command
{
    return {source.text(),       source.text(),   source.version(),
            make_change(source), source.number(), source.bytes()};
}

auto make_outcome(value_source& source) -> accept_outcome
{
    return {static_cast<accept_status>(source.below(3)), source.version(), source.list([&] {
                return cell_conflict{source.text(),
                                     static_cast<table_column>(source.below(table_column_count)),
                                     source.text(), source.text()};
            }),
            source.text()};
}

auto make_rollout_command(value_source& source) -> rollout_command
{
    return {static_cast<rollout_command_kind>(source.below(3)),
            source.text(),
            source.text(),
            source.number(),
            source.number(),
            make_share(source),
            make_rollout_state(source),
            source.number(),
            source.number(),
            source.boolean(),
            source.text()};
}

auto make_raft_message(value_source& source) -> raft_message
{
    constexpr std::uint64_t max_quorum_age_ms = 60'000; // a greater one has the same effect
    raft_message message;
    message.kind_ = static_cast<raft_message_kind>(source.below(10));
    message.from_ = source.text();
    message.to_ = source.text();
    message.term_ = source.number();
    message.quorum_age_ms_ = source.below(max_quorum_age_ms);
    message.entries_ = source.list([&] {
        return log_entry{source.number(), source.number(), static_cast<entry_kind>(source.below(3)),
                         source.name(50)};
    });
    message.data_ = source.bytes();
    return message;
}

/** Checks that \p decode reads what \p encode writes of \p value, and that \p encode writes the
 * same again. */
template <typename Value, typename Encode, typename Decode>
void check_round_trip(const Value& value, const Encode& encode, const Decode& decode)
{
    const std::string encoded = encode(value);
    const auto decoded = decode(encoded);
    BOOST_REQUIRE_MESSAGE(decoded.has_value(), decoded.error().message_);
    BOOST_TEST((encode(*decoded) == encoded));
}

constexpr int rounds = 40;

} // namespace

BOOST_AUTO_TEST_CASE(messages_between_publishers_and_subscribers_round_trip)
{
    for (int seed = 0; seed < rounds; ++seed) {
        value_source source(static_cast<std::uint64_t>(seed));
        for (const auto& message : make_messages(source)) {
            BOOST_TEST_CONTEXT("seed " << seed << ", kind " << message.index())
            {
                const auto fail = [](const error& problem) {
                    BOOST_FAIL(problem.message_);
                };
                check_round_trip(
                    message, [](const auto& value) { return encode_message(value); },
                    [&](const auto& bytes) { return decode_distribution_message(bytes, fail); });
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(commands_and_outcomes_round_trip)
{
    for (int seed = 0; seed < rounds; ++seed) {
        value_source source(static_cast<std::uint64_t>(seed));
        const auto encode = [](const auto& value) {
            return encode_command(value);
        };
        check_round_trip(make_command(source), encode, decode_accept_command);
        check_round_trip(make_rollout_command(source), encode, decode_rollout_command);
        check_round_trip(control_command{command_kind::rollout, source.bytes()}, encode,
                         decode_control_command);
        check_round_trip(make_outcome(source), encode_outcome, decode_accept_outcome);
        check_round_trip(
            run_batch{source.number(), source.list([&] { return make_operation(source); })},
            encode_run_batch, decode_run_batch);
        check_round_trip(source.list([&] {
            return run_result{source.digest_value(),
                              static_cast<run_verdict>(source.below(run_verdict_count)),
                              source.bytes()};
        }),
                         encode_run_results, decode_run_results);
    }
}

BOOST_AUTO_TEST_CASE(messages_between_replicas_round_trip)
{
    for (int seed = 0; seed < rounds; ++seed) {
        value_source source(static_cast<std::uint64_t>(seed));
        check_round_trip(
            make_raft_message(source), [](const auto& value) { return encode_message(value); },
            decode_raft_message);
        check_round_trip(group_membership{source.names(), source.names()}, encode_membership,
                         decode_membership);
    }
}

BOOST_AUTO_TEST_CASE(messages_between_nodes_and_stored_responses_round_trip)
{
    for (int seed = 0; seed < rounds; ++seed) {
        value_source source(static_cast<std::uint64_t>(seed));
        constexpr std::uint64_t max_tokens = 1'000'000'000;
        const auto encode_quota = [](const auto& value) {
            return encode(value);
        };
        check_round_trip(quota_ask{source.text(),
                                   source.below(max_tokens),
                                   source.below(max_tokens),
                                   source.below(max_tokens),
                                   {source.number(), source.number()},
                                   source.boolean()},
                         encode_quota, decode_quota_ask);
        stored_response response;
        response.head_.status_ = 200;
        response.body_ = source.name(2'000);
        for (auto left = source.below(300); left > 0; --left) {
            response.head_.headers_.push_back({"x", source.name(10)});
        }
        check_round_trip(response, encode_response, decode_response);
    }
}

// The state is what snapshots hold: a replica that cannot read its own does not start.
BOOST_AUTO_TEST_CASE(snapshots_of_admitted_edits_round_trip)
{
    constexpr int edits = 30;
    value_source source(43);
    control_state state;
    std::uint64_t accepted = 0;
    for (int edit = 0; edit < edits; ++edit) {
        accept_command command;
        command.edit_id_ = std::to_string(edit);
        command.operator_ = source.name();
        // Some edits are on another base: their outcomes name cells of any size.
        command.base_ = source.below(3) == 0 ? source.version() : state.tables_.current()->version_;
        row value;
        value.service_ = "s" + std::to_string(source.below(5));
        value.path_prefix_ = "/" + value.service_;
        value.timeout_ = std::chrono::milliseconds(1 + source.below(1'000));
        for (auto left = source.below(3'000); left > 0; --left) {
            value.split_.push_back({"part-with-a-long-name-" + std::to_string(left), 1});
        }
        command.change_.upserts_ = {value};
        accepted += state.tables_.apply(command).status_ == accept_status::accepted ? 1 : 0;
        check_round_trip(state, encode_state,
                         [](const auto& bytes) { return decode_state(bytes, state_limits()); });
    }
    BOOST_TEST(accepted > 10U);
}
