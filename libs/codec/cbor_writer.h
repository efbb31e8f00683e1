/** \file
 * Writes CBOR (RFC 8949) through Qt's stream writer. Messages are arrays of fields by position.
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

/** Appends CBOR items to a byte string. */
class cbor_writer {
  public:
    cbor_writer();
    cbor_writer(const cbor_writer&) = delete;
    auto operator=(const cbor_writer&) -> cbor_writer& = delete;
    cbor_writer(cbor_writer&&) noexcept;
    auto operator=(cbor_writer&&) noexcept -> cbor_writer&;
    ~cbor_writer();

    /** Starts an array of exactly \p count items. */
    auto array(std::size_t count) -> cbor_writer&;
    auto number(std::uint64_t value) -> cbor_writer&;
    auto real(double value) -> cbor_writer&;
    auto boolean(bool value) -> cbor_writer&;
    auto text(std::string_view value) -> cbor_writer&;
    auto bytes(std::string_view value) -> cbor_writer&;
    /** Writes a digest as 16 bytes. */
    auto digest_value(const digest& value) -> cbor_writer&;

    /** Returns what was written and leaves the writer empty. */
    [[nodiscard]] auto take() -> std::string;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sycamorewinch
