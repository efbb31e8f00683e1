/** \file
 * The record of one request that crashed a target, or that a target answered after all.
 *
 * A request is identified by its fingerprint: the digest of its service, method, path, idempotency
 * key and the start of its body. The body is inspected before sending only if the hash of the
 * request's head is that of a request that crashed a target.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

/** How much of the body the fingerprint covers, in bytes. */
constexpr std::size_t fingerprint_body_bytes = 1024;

/** The event that a crash record reports. */
enum class crash_event : std::uint8_t {
    crashed,  ///< The target's connection broke before the response began.
    answered, ///< A target answered: the request is harmless, and its crash records are removed.
};

/** The hash of the parts of a request that are known before its body. */
struct request_head_hash {
    std::uint64_t value_ = 0;

    [[nodiscard]] auto operator<=>(const request_head_hash&) const = default;
};

/** Returns the hash of the head of a request. */
[[nodiscard]] auto hash_head(std::string_view service, std::string_view method,
                             std::string_view path, std::string_view idempotency_key)
    -> request_head_hash;

/** Returns the fingerprint of a request from the hash of its head and the start of its body. */
[[nodiscard]] auto make_fingerprint(request_head_hash head, std::string_view body_start) -> digest;

/** One event of one request at one target. */
struct crash_record {
    crash_event event_ = crash_event::crashed;
    request_head_hash head_;
    digest fingerprint_;
    std::string target_; ///< SERVICE/TARGET; empty for answered.

    [[nodiscard]] auto operator==(const crash_record&) const -> bool = default;
};

/** Appends \p record to \p writer as one CBOR array. */
void write_crash(cbor_writer& writer, const crash_record& record);
/** Reads one record; check \p reader for errors afterwards. */
[[nodiscard]] auto read_crash(cbor_reader& reader) -> crash_record;

} // namespace sycamorewinch
