#include "control/control_snapshot.h"

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

constexpr std::uint64_t format_version = 2;
constexpr std::size_t max_part_bytes = 512U * 1024 * 1024;

} // namespace

auto encode_state(const control_state& state) -> std::string
{
    cbor_writer writer;
    writer.array(3).number(format_version);
    writer.bytes(state.tables_.encode()).bytes(state.runs_.encode());
    return writer.take();
}

auto decode_state(std::string_view bytes, state_limits limits) -> result<control_state>
{
    cbor_reader reader(bytes);
    reader.array(3);
    if (reader.number() != format_version) {
        reader.reject("the snapshot has an unknown format version");
    }
    const auto tables_bytes = reader.bytes(max_part_bytes);
    const auto runs_bytes = reader.bytes(max_part_bytes);
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
    return control_state{std::move(*tables), std::move(*runs)};
}

} // namespace sycamorewinch
