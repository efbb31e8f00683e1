#include "consensus/log_entry_codec.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t entry_fields = 4;

} // namespace

void write_entry(cbor_writer& writer, const log_entry& entry)
{
    writer.array(entry_fields).number(entry.index_).number(entry.term_);
    writer.number(static_cast<std::uint64_t>(entry.kind_)).bytes(entry.payload_);
}

auto read_entry(cbor_reader& reader) -> log_entry
{
    log_entry entry;
    reader.array(entry_fields);
    entry.index_ = reader.number();
    entry.term_ = reader.number();
    const auto kind = reader.number();
    if (kind > static_cast<std::uint64_t>(entry_kind::membership)) {
        reader.reject("log entry of unknown kind");
    }
    entry.kind_ = static_cast<entry_kind>(kind);
    entry.payload_ = reader.bytes();
    return entry;
}

} // namespace sycamorewinch
