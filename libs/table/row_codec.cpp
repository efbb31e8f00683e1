#include "table/row_codec.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t row_fields = 13;
constexpr std::size_t anonymous_row_fields = row_fields + 1;
constexpr std::size_t organisation_fields = 5;
constexpr std::size_t bounds_fields = 4;
constexpr std::size_t change_fields = 3;
constexpr std::size_t change_fields_with_organisations = change_fields + 2;

void write_limit(cbor_writer& writer, const caller_limit& limit)
{
    writer.array(3);
    writer.number(limit.requests_per_second_);
    writer.number(limit.burst_);
    writer.number(limit.concurrency_);
}

auto read_number32(cbor_reader& reader) -> std::uint32_t
{
    const auto value = reader.number();
    if (value > UINT32_MAX) {
        reader.reject("the number does not fit into 32 bits");
        return 0;
    }
    return static_cast<std::uint32_t>(value);
}

auto read_limit(cbor_reader& reader) -> caller_limit
{
    caller_limit limit;
    reader.array(3);
    limit.requests_per_second_ = read_number32(reader);
    limit.burst_ = read_number32(reader);
    limit.concurrency_ = read_number32(reader);
    return limit;
}

auto read_weight(cbor_reader& reader) -> traffic_weight
{
    traffic_weight weight;
    reader.array(3);
    weight.scope_ = reader.boolean() ? weight_scope::availability_zone : weight_scope::target;
    weight.name_ = reader.text();
    weight.weight_ = read_number32(reader);
    return weight;
}

auto read_named_limit(cbor_reader& reader) -> named_limit
{
    named_limit named;
    reader.array(2);
    named.caller_ = reader.text();
    named.limit_ = read_limit(reader);
    return named;
}

/** Enters an array of \p few or \p many fields, and returns how many it has. */
auto read_field_count(cbor_reader& reader, std::size_t few, std::size_t many) -> std::size_t
{
    const auto count = reader.list();
    if (count != few && count != many) {
        reader.reject("the number of fields is not a known one");
    }
    return count;
}

void write_organisation(cbor_writer& writer, const organisation& value)
{
    writer.array(organisation_fields).text(value.name_).array(value.keys_.size());
    for (const auto& key : value.keys_) {
        writer.digest_value(key);
    }
    writer.number(value.rate_thousandths_).number(value.burst_);
    writer.array(value.priority_ ? 1 : 0);
    if (value.priority_) {
        writer.number(*value.priority_);
    }
}

auto read_organisation(cbor_reader& reader) -> organisation
{
    organisation value;
    reader.array(organisation_fields);
    value.name_ = reader.text();
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        value.keys_.push_back(reader.digest_value());
    }
    value.rate_thousandths_ = reader.number();
    value.burst_ = reader.number();
    if (reader.optional()) {
        value.priority_ = read_number32(reader);
    }
    return value;
}

} // namespace

void write_row(cbor_writer& writer, const row& value)
{
    writer.array(value.allow_anonymous_ ? anonymous_row_fields : row_fields);
    writer.text(value.service_).text(value.host_).text(value.path_prefix_);
    writer.array(value.split_.size());
    for (const auto& share : value.split_) {
        writer.array(2).text(share.service_).number(share.weight_);
    }
    writer.array(value.weights_.size());
    for (const auto& weight : value.weights_) {
        writer.array(3);
        writer.boolean(weight.scope_ == weight_scope::availability_zone);
        writer.text(weight.name_);
        writer.number(weight.weight_);
    }
    write_limit(writer, value.default_limit_);
    writer.array(value.named_limits_.size());
    for (const auto& named : value.named_limits_) {
        writer.array(2).text(named.caller_);
        write_limit(writer, named.limit_);
    }
    writer.number(static_cast<std::uint64_t>(value.timeout_.count()));
    writer.number(value.retries_).boolean(value.repeatable_).number(value.priority_);
    writer.number(static_cast<std::uint64_t>(value.target_latency_.count()));
    writer.array(value.depends_on_.size());
    for (const auto& service : value.depends_on_) {
        writer.text(service);
    }
    if (value.allow_anonymous_) {
        writer.boolean(true);
    }
}

auto read_row(cbor_reader& reader) -> row
{
    row value;
    const auto fields = read_field_count(reader, row_fields, anonymous_row_fields);
    value.service_ = reader.text();
    value.host_ = reader.text();
    value.path_prefix_ = reader.text();
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        reader.array(2);
        auto service = reader.text();
        value.split_.push_back({std::move(service), read_number32(reader)});
    }
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        value.weights_.push_back(read_weight(reader));
    }
    value.default_limit_ = read_limit(reader);
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        value.named_limits_.push_back(read_named_limit(reader));
    }
    value.timeout_ = std::chrono::milliseconds(read_number32(reader));
    value.retries_ = read_number32(reader);
    value.repeatable_ = reader.boolean();
    value.priority_ = read_number32(reader);
    value.target_latency_ = std::chrono::milliseconds(read_number32(reader));
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        value.depends_on_.push_back(reader.text());
    }
    value.allow_anonymous_ = fields == anonymous_row_fields && reader.boolean();
    return value;
}

auto encode_row(const row& value) -> std::string
{
    cbor_writer writer;
    write_row(writer, value);
    return writer.take();
}

auto encode_bounds(const connection_bounds& bounds) -> std::string
{
    cbor_writer writer;
    write_bounds(writer, bounds);
    return writer.take();
}

void write_bounds(cbor_writer& writer, const connection_bounds& bounds)
{
    writer.array(bounds_fields).number(bounds.header_bytes_).number(bounds.body_bytes_);
    writer.number(static_cast<std::uint64_t>(bounds.header_timeout_.count()));
    writer.number(static_cast<std::uint64_t>(bounds.idle_timeout_.count()));
}

auto read_bounds(cbor_reader& reader) -> connection_bounds
{
    connection_bounds bounds;
    reader.array(bounds_fields);
    bounds.header_bytes_ = read_number32(reader);
    bounds.body_bytes_ = reader.number();
    bounds.header_timeout_ = std::chrono::milliseconds(read_number32(reader));
    bounds.idle_timeout_ = std::chrono::milliseconds(read_number32(reader));
    return bounds;
}

auto encode_organisation(const organisation& value) -> std::string
{
    cbor_writer writer;
    write_organisation(writer, value);
    return writer.take();
}

void write_organisations(cbor_writer& writer, const std::vector<organisation>& organisations)
{
    writer.array(organisations.size());
    for (const auto& organisation : organisations) {
        write_organisation(writer, organisation);
    }
}

auto read_organisations(cbor_reader& reader) -> std::vector<organisation>
{
    std::vector<organisation> organisations;
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        organisations.push_back(read_organisation(reader));
    }
    return organisations;
}

void write_change(cbor_writer& writer, const table_change& change)
{
    writer.array(change.has_organisations() ? change_fields_with_organisations : change_fields);
    writer.array(change.upserts_.size());
    for (const auto& row : change.upserts_) {
        write_row(writer, row);
    }
    writer.array(change.removals_.size());
    for (const auto& service : change.removals_) {
        writer.text(service);
    }
    writer.array(change.bounds_ ? 1 : 0);
    if (change.bounds_) {
        write_bounds(writer, *change.bounds_);
    }
    if (change.has_organisations()) {
        write_organisations(writer, change.organisation_upserts_);
        writer.array(change.organisation_removals_.size());
        for (const auto& name : change.organisation_removals_) {
            writer.text(name);
        }
    }
}

auto read_change(cbor_reader& reader) -> table_change
{
    table_change change;
    const auto fields = read_field_count(reader, change_fields, change_fields_with_organisations);
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        change.upserts_.push_back(read_row(reader));
    }
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        change.removals_.push_back(reader.text());
    }
    if (reader.optional()) {
        change.bounds_ = read_bounds(reader);
    }
    if (fields == change_fields_with_organisations) {
        change.organisation_upserts_ = read_organisations(reader);
        for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
            change.organisation_removals_.push_back(reader.text());
        }
    }
    return change;
}

} // namespace sycamorewinch
