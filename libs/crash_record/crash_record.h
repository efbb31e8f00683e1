/** \file
 * News of one request that ended a target, or that a target answered after all.
 *
 * A request is known by its fingerprint: the digest of its service, method, path, idempotency key
 * and the start of its body. Only a request whose head was seen to end a target has its body
 * looked at before it is sent.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

/** How much of a body belongs to the fingerprint, in bytes. */
constexpr std::size_t fingerprint_body_bytes = 1024;

/** What happened to a request. */
enum class crash_event : std::uint8_t {
    crashed,  ///< The target's connection broke before an answer began.
    answered, ///< A target answered: the request is harmless, and what was noted is dropped.
};

/** The part of a fingerprint that is known before the body. */
struct request_head_hash {
    std::uint64_t value_ = 0;

    [[nodiscard]] auto operator<=>(const request_head_hash&) const = default;
};

/** Returns the hash of a request's head. */
[[nodiscard]] auto hash_head(std::string_view service, std::string_view method,
                             std::string_view path, std::string_view idempotency_key)
    -> request_head_hash;

/** Returns the fingerprint of a request by its head and the start of its body. */
[[nodiscard]] auto make_fingerprint(request_head_hash head, std::string_view body_start) -> digest;

/** One piece of news. */
struct crash_record {
    crash_event event_ = crash_event::crashed;
    request_head_hash head_;
    digest fingerprint_;
    std::string target_; ///< SERVICE/TARGET; empty for answered.

    [[nodiscard]] auto operator==(const crash_record&) const -> bool = default;
};

/** Appends \p record to \p writer as one array. */
void write_crash(cbor_writer& writer, const crash_record& record);
/** Takes one record from \p reader; check the reader afterwards. */
[[nodiscard]] auto read_crash(cbor_reader& reader) -> crash_record;

} // namespace sycamorewinch
