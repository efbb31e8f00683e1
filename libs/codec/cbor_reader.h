/** \file
 * Reads CBOR (RFC 8949) through Qt's stream reader.
 *
 * Nothing that is read is longer than the input, so the limit on the size of a message or record
 * also limits what a decoder allocates. Limits on single values are not the decoder's: they are
 * checked where a value is admitted (see base/field_limits.h), since a message or log entry that
 * its own process cannot read again would be lost as a whole.
 *
 * The reader keeps its first error: from then on every read returns 0, false or an empty value, and
 * finish() returns that error. Code that decodes a message can therefore read all fields and check
 * once, at the end.
 *
 * \code
 * cbor_reader reader(bytes);
 * reader.array(2);
 * message.version_ = reader.number();
 * message.service_ = reader.text();
 * if (auto end = reader.finish(); !end) return tl::unexpected(end.error());
 * \endcode
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "base/result.h"

namespace sycamorewinch {

/** Decodes CBOR items one by one from a buffer, which must outlive the reader. */
class cbor_reader {
  public:
    explicit cbor_reader(std::string_view bytes);
    cbor_reader(const cbor_reader&) = delete;
    auto operator=(const cbor_reader&) -> cbor_reader& = delete;
    cbor_reader(cbor_reader&&) = delete;
    auto operator=(cbor_reader&&) -> cbor_reader& = delete;
    ~cbor_reader();

    /** Enters an array that must have exactly \p count items. */
    void array(std::size_t count);
    /** Enters an array of any length and returns its length. */
    auto list() -> std::size_t;
    /** Enters an array that has no or one item; returns whether it has one. */
    auto optional() -> bool;
    /** Reads an unsigned integer. */
    auto number() -> std::uint64_t;
    /** Reads a double-precision floating-point number. */
    auto real() -> double;
    auto boolean() -> bool;
    /** Reads a UTF-8 text string. */
    auto text() -> std::string;
    auto bytes() -> std::string;
    /** Skips one item and returns its encoded bytes, which are part of the input. A record can so
     * be decoded by a reader of its own, whose error is not one of this reader. */
    auto item() -> std::string_view;
    /** Reads a digest, a byte string of 16 bytes. */
    auto digest_value() -> digest;

    /** Records an error that the decoding code found in a value; ignored after an earlier error. */
    void reject(std::string_view reason);

    /** Returns whether no error has occurred so far. */
    [[nodiscard]] auto good() const -> bool;

    /** Returns the first error, or one if input bytes remain; its kind is always corrupt. */
    [[nodiscard]] auto finish() -> result<void>;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
