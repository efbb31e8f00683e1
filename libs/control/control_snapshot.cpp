#include "control/control_snapshot.h"

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

constexpr std::uint64_t format_version = 3;
/** The format without roll-outs. */
constexpr std::uint64_t earlier_format_version = 2;
constexpr std::size_t earlier_fields = 3;
constexpr std::size_t fields = 4;

} // namespace

auto encode_state(const control_state& state) -> std::string
{
    cbor_writer writer;
    const bool has_rollouts = state.rollouts_.sequence() > 0;
    writer.array(has_rollouts ? fields : earlier_fields);
    writer.number(has_rollouts ? format_version : earlier_format_version);
    writer.bytes(state.tables_.encode()).bytes(state.runs_.encode());
    if (has_rollouts) {
        writer.bytes(state.rollouts_.encode());
    }
    return writer.take();
}

auto decode_state(std::string_view bytes, state_limits limits) -> result<control_state>
{
    cbor_reader reader(bytes);
    const bool has_rollouts = reader.list() == fields;
    if (reader.number() != (has_rollouts ? format_version : earlier_format_version)) {
        reader.reject("the snapshot has an unknown format version");
    }
    const auto tables_bytes = reader.bytes();
    const auto runs_bytes = reader.bytes();
    const auto rollouts_bytes = has_rollouts ? reader.bytes() : std::string();
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    auto tables = replicated_state::decode(tables_bytes, limits);
    if (!tables) {
        return tl::unexpected(tables.error());
    }
    auto runs = run_records::decode(runs_bytes);
    if (!runs) {
        return tl::unexpected(runs.error());
    }
    auto rollouts = has_rollouts ? rollout_records::decode(rollouts_bytes)
                                 : result<rollout_records>(rollout_records());
    if (!rollouts) {
        return tl::unexpected(rollouts.error());
    }
    return control_state{std::move(*tables), std::move(*runs), std::move(*rollouts)};
}

} // namespace sycamorewinch
