/** \file
 * Writes CBOR (RFC 8949) through Qt's stream writer. A message is an array whose items are its
 * fields in a fixed order.
 *
 * \code
 * cbor_writer writer;
 * writer.array(2).number(version).text(service);
 * std::string bytes = writer.take();
 * \endcode
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/digest.h"

namespace sycamorewinch {

/** Encodes CBOR items into a byte string. */
class cbor_writer {
  public:
    cbor_writer();
    cbor_writer(const cbor_writer&) = delete;
    auto operator=(const cbor_writer&) -> cbor_writer& = delete;
    cbor_writer(cbor_writer&&) noexcept;
    auto operator=(cbor_writer&&) noexcept -> cbor_writer&;
    ~cbor_writer();

    /** Starts an array of \p count items, which the caller must write next. */
    auto array(std::size_t count) -> cbor_writer&;
    /** Writes an unsigned integer. */
    auto number(std::uint64_t value) -> cbor_writer&;
    /** Writes a double-precision floating-point number. */
    auto real(double value) -> cbor_writer&;
    auto boolean(bool value) -> cbor_writer&;
    /** Writes a text string; \p value must be UTF-8. */
    auto text(std::string_view value) -> cbor_writer&;
    auto bytes(std::string_view value) -> cbor_writer&;
    /** Writes a digest as a byte string of 16 bytes. */
    auto digest_value(const digest& value) -> cbor_writer&;

    /** Returns the encoded bytes and leaves the writer empty. */
    [[nodiscard]] auto take() -> std::string;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
