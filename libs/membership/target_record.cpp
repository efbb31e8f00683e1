#include "membership/target_record.h"

#include <tuple>

#include "base/enum_names.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<target_state, 3> state_names{{"up", "draining", "gone"}};
constexpr std::size_t record_fields = 13;

/** Returns whether the names of \p record are as short as those of an announcement must be. Earlier
 * versions pass longer ones on, and cannot read them. */
auto has_admitted_lengths(const target_record& record) -> bool
{
    const auto is_admitted = [](const std::string& name) {
        return name.size() <= max_name_bytes;
    };
    return is_admitted(record.service_) && is_admitted(record.target_) &&
           is_admitted(record.availability_zone_) && is_admitted(record.node_address_) &&
           is_admitted(record.node_admin_) &&
           record.software_version_.size() <= max_software_version_bytes;
}

} // namespace

auto name_of(target_state state) -> std::string_view
{
    return state_names.name(state);
}

auto is_newer(const target_record& record, const target_record& than) -> bool
{
    return std::tie(record.incarnation_, record.sequence_) >
           std::tie(than.incarnation_, than.sequence_);
}

auto is_same_version(const target_record& one, const target_record& other) -> bool
{
    return !is_newer(one, other) && !is_newer(other, one);
}

auto has_left(const target_record& record) -> bool
{
    return record.started_ != 0 && record.left_start_ >= record.started_;
}

void write_target(cbor_writer& writer, const target_record& record)
{
    writer.array(record_fields).text(record.service_).text(record.target_);
    writer.text(record.availability_zone_).text(record.node_address_);
    writer.text(record.node_admin_);
    writer.number(record.incarnation_).number(record.sequence_);
    writer.number(static_cast<std::uint64_t>(record.state_)).number(record.slots_);
    writer.number(static_cast<std::uint64_t>(record.cold_start_.count()));
    writer.number(record.started_).number(record.left_start_);
    writer.text(record.software_version_);
}

auto read_target(cbor_reader& reader) -> target_record
{
    target_record record;
    reader.array(record_fields);
    record.service_ = reader.text();
    record.target_ = reader.text();
    record.availability_zone_ = reader.text();
    record.node_address_ = reader.text();
    record.node_admin_ = reader.text();
    record.incarnation_ = reader.number();
    record.sequence_ = reader.number();
    const auto state = reader.number();
    if (state >= state_names.size()) {
        reader.reject("unknown target state");
    }
    record.state_ = static_cast<target_state>(state);
    record.slots_ = static_cast<std::uint32_t>(reader.number());
    record.cold_start_ = std::chrono::milliseconds(reader.number());
    record.started_ = reader.number();
    record.left_start_ = reader.number();
    record.software_version_ = reader.text();
    if (!has_admitted_lengths(record)) {
        reader.reject("a name in the target record is too long");
    }
    return record;
}

} // namespace sycamorewinch
