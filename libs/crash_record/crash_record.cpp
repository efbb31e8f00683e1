#include "crash_record/crash_record.h"

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr std::size_t record_fields = 4;

} // namespace

auto hash_head(std::string_view service, std::string_view method, std::string_view path,
               std::string_view idempotency_key) -> request_head_hash
{
    // Each field is hashed with the hash of the previous fields as seed, so that heads whose
    // concatenated fields are equal get different hashes.
    return {hash_of(idempotency_key, hash_of(path, hash_of(method, hash_of(service))))};
}

auto make_fingerprint(request_head_hash head, std::string_view body_start) -> digest
{
    return digest_of(
        fmt::format("{:016x}{}", head.value_, body_start.substr(0, fingerprint_body_bytes)));
}

void write_crash(cbor_writer& writer, const crash_record& record)
{
    writer.array(record_fields).boolean(record.event_ == crash_event::answered);
    writer.number(record.head_.value_).digest_value(record.fingerprint_).text(record.target_);
}

auto read_crash(cbor_reader& reader) -> crash_record
{
    crash_record record;
    reader.array(record_fields);
    record.event_ = reader.boolean() ? crash_event::answered : crash_event::crashed;
    record.head_.value_ = reader.number();
    record.fingerprint_ = reader.digest_value();
    record.target_ = reader.text();
    return record;
}

} // namespace sycamorewinch
