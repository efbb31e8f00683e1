#include "distribution/distribution_message.h"

#include <algorithm>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "distribution/compressed_message.h"
#include "table/row_codec.h"

namespace sycamorewinch {

namespace {

/** A greater age has the same effect. */
constexpr std::uint64_t max_proof_age_ms = 3'600'000;

void write_version(cbor_writer& writer, const table_version& version)
{
    writer.array(2).number(version.number_).digest_value(version.digest_);
}

auto read_version(cbor_reader& reader) -> table_version
{
    table_version version;
    reader.array(2);
    version.number_ = reader.number();
    version.digest_ = reader.digest_value();
    return version;
}

void write_targets(cbor_writer& writer, const std::vector<target_record>& targets)
{
    writer.array(targets.size());
    for (const auto& target : targets) {
        write_target(writer, target);
    }
}

/** Writes the body of a message by its kind. */
struct message_writer {
    cbor_writer& writer_;

    void operator()(const subscribe& message) const
    {
        writer_.array(4).text(message.name_).text(message.availability_zone_);
        writer_.boolean(message.is_relay_);
        write_version(writer_, message.held_);
    }

    void operator()(const table_update& message) const
    {
        writer_.array(3);
        write_version(writer_, message.from_);
        write_version(writer_, message.to_);
        write_change(writer_, message.change_);
    }

    void operator()(const currency_request& message) const
    {
        writer_.array(2).number(message.nonce_).boolean(message.is_refresh_);
    }

    void operator()(const currency_proof& message) const
    {
        writer_.array(4).number(message.nonce_).number(message.version_);
        writer_.number(message.age_ms_).number(message.rollout_sequence_);
    }

    void operator()(const progress_report& message) const
    {
        writer_.array(message.zones_.size());
        for (const auto& zone : message.zones_) {
            writer_.array(5).text(zone.availability_zone_).number(zone.nodes_);
            writer_.number(zone.lowest_version_).number(zone.at_lowest_);
            writer_.array(zone.at_lowest_names_.size());
            for (const auto& name : zone.at_lowest_names_) {
                writer_.text(name);
            }
        }
    }

    void operator()(const target_report& message) const
    {
        writer_.array(2).boolean(message.holds_leases_);
        write_targets(writer_, message.targets_);
    }

    void operator()(const target_summary& message) const
    {
        writer_.array(message.digests_.size());
        for (const auto digest : message.digests_) {
            writer_.number(digest);
        }
    }

    void operator()(const target_sync& message) const
    {
        writer_.array(2).array(message.contents_.buckets_.size());
        for (const auto bucket : message.contents_.buckets_) {
            writer_.number(bucket);
        }
        write_targets(writer_, message.contents_.targets_);
    }

    void operator()(const crash_report& message) const
    {
        writer_.array(message.crashes_.size());
        for (const auto& crash : message.crashes_) {
            write_crash(writer_, crash);
        }
    }

    void operator()(const publisher_list& message) const
    {
        writer_.array(message.publishers_.size());
        for (const auto& publisher : message.publishers_) {
            writer_.array(2).text(publisher.availability_zone_).text(publisher.address_);
        }
    }

    void operator()(const rollout_update& message) const
    {
        write_rollout_set(writer_, message.rollouts_);
    }

    void operator()(const version_report& message) const { write_version_report(writer_, message); }
};

auto read_subscribe(cbor_reader& reader, const skipped_record_hook& /*on_skipped*/)
    -> distribution_message
{
    subscribe message;
    reader.array(4);
    message.name_ = reader.text();
    message.availability_zone_ = reader.text();
    message.is_relay_ = reader.boolean();
    message.held_ = read_version(reader);
    return message;
}

auto read_table_update(cbor_reader& reader, const skipped_record_hook& /*on_skipped*/)
    -> distribution_message
{
    table_update message;
    reader.array(3);
    message.from_ = read_version(reader);
    message.to_ = read_version(reader);
    message.change_ = read_change(reader);
    return message;
}

auto read_currency_request(cbor_reader& reader, const skipped_record_hook& /*on_skipped*/)
    -> distribution_message
{
    reader.array(2);
    const auto nonce = reader.number();
    return currency_request{nonce, reader.boolean()};
}

auto read_currency_proof(cbor_reader& reader, const skipped_record_hook& /*on_skipped*/)
    -> distribution_message
{
    currency_proof message;
    reader.array(4);
    message.nonce_ = reader.number();
    message.version_ = reader.number();
    message.age_ms_ = std::min(reader.number(), max_proof_age_ms);
    message.rollout_sequence_ = reader.number();
    return message;
}

auto read_zone(cbor_reader& reader) -> zone_progress
{
    zone_progress zone;
    reader.array(5);
    zone.availability_zone_ = reader.text();
    zone.nodes_ = reader.number();
    zone.lowest_version_ = reader.number();
    zone.at_lowest_ = reader.number();
    for (auto names = reader.list(); names > 0 && reader.good(); --names) {
        zone.at_lowest_names_.push_back(reader.text());
    }
    return zone;
}

auto read_progress_report(cbor_reader& reader, const skipped_record_hook& on_skipped)
    -> distribution_message
{
    return progress_report{read_record_list(reader, read_zone, on_skipped)};
}

auto read_target_report(cbor_reader& reader, const skipped_record_hook& on_skipped)
    -> distribution_message
{
    target_report message;
    reader.array(2);
    message.holds_leases_ = reader.boolean();
    message.targets_ = read_record_list(reader, read_target, on_skipped);
    return message;
}

auto read_target_summary(cbor_reader& reader, const skipped_record_hook& /*on_skipped*/)
    -> distribution_message
{
    target_summary message;
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        message.digests_.push_back(static_cast<std::uint32_t>(reader.number()));
    }
    return message;
}

auto read_target_sync(cbor_reader& reader, const skipped_record_hook& on_skipped)
    -> distribution_message
{
    target_sync message;
    reader.array(2);
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        message.contents_.buckets_.push_back(reader.number());
    }
    message.contents_.targets_ = read_record_list(reader, read_target, on_skipped);
    return message;
}

auto read_crash_report(cbor_reader& reader, const skipped_record_hook& on_skipped)
    -> distribution_message
{
    return crash_report{read_record_list(reader, read_crash, on_skipped)};
}

auto read_publisher(cbor_reader& reader) -> publisher_address
{
    publisher_address publisher;
    reader.array(2);
    publisher.availability_zone_ = reader.text();
    publisher.address_ = reader.text();
    return publisher;
}

auto read_publisher_list(cbor_reader& reader, const skipped_record_hook& on_skipped)
    -> distribution_message
{
    return publisher_list{read_record_list(reader, read_publisher, on_skipped)};
}

auto read_rollout_update(cbor_reader& reader, const skipped_record_hook& /*on_skipped*/)
    -> distribution_message
{
    return rollout_update{read_rollout_set(reader)};
}

auto read_report(cbor_reader& reader, const skipped_record_hook& on_skipped) -> distribution_message
{
    return read_version_report(reader, on_skipped);
}

using message_reader = distribution_message (*)(cbor_reader&, const skipped_record_hook&);

/** The body readers, indexed by message kind: the order of the variant's alternatives. */
constexpr std::array<message_reader, std::variant_size_v<distribution_message>> message_readers{
    read_subscribe,       read_table_update,   read_currency_request, read_currency_proof,
    read_progress_report, read_target_report,  read_target_summary,   read_target_sync,
    read_crash_report,    read_publisher_list, read_rollout_update,   read_report};

/** The message kind whose body is a compressed message of another kind. */
constexpr std::uint64_t compressed_kind = 63;

auto read_uncompressed(std::string_view bytes, const skipped_record_hook& on_skipped)
    -> result<distribution_message>
{
    cbor_reader reader(bytes);
    reader.array(2);
    const auto kind = reader.number();
    if (kind >= message_readers.size()) {
        reader.reject("unknown kind of distribution message");
        return tl::unexpected(reader.finish().error());
    }
    auto message = message_readers.at(kind)(reader, on_skipped);
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return message;
}

auto is_compressed(std::string_view bytes) -> bool
{
    cbor_reader reader(bytes);
    reader.array(2);
    return reader.number() == compressed_kind;
}

} // namespace

auto encode_message(const distribution_message& message) -> std::string
{
    cbor_writer writer;
    writer.array(2).number(message.index());
    std::visit(message_writer{writer}, message);
    auto bytes = writer.take();
    if (bytes.size() < compression_threshold_bytes) {
        return bytes;
    }
    cbor_writer wrapper;
    wrapper.array(2).number(compressed_kind).bytes(compress(bytes));
    return wrapper.take();
}

auto decode_distribution_message(std::string_view bytes, const skipped_record_hook& on_skipped)
    -> result<distribution_message>
{
    if (!is_compressed(bytes)) {
        return read_uncompressed(bytes, on_skipped);
    }
    cbor_reader reader(bytes);
    reader.array(2);
    reader.number();
    const auto frame = reader.bytes();
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return decompress(frame).and_then(
        [&on_skipped](const auto& message) { return read_uncompressed(message, on_skipped); });
}

} // namespace sycamorewinch
