/** \file
 * The secret that all processes of one system share, and proofs that a peer holds it.
 *
 * A proof is an HMAC-SHA256 over the name of the proving side and both sides' nonces. Including the
 * side prevents a peer from replaying the other side's proof as its own.
 */
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** The end of a connection that makes a proof. */
enum class proof_side : std::uint8_t { client, server };

/** The shared secret. */
class cluster_key {
  public:
    /** Reads the key from a file; leading and trailing white space is removed. Errors: io if the
     * file cannot be read, invalid_input if the key has less than 16 bytes. */
    [[nodiscard]] static auto read(const std::string& path) -> result<cluster_key>;

    /** Creates a key from \p secret. Error invalid_input: less than 16 bytes. */
    [[nodiscard]] static auto create(std::string secret) -> result<cluster_key>;

    /** Returns the proof of \p side as hexadecimal digits. */
    [[nodiscard]] auto prove(proof_side side, std::string_view client_nonce,
                             std::string_view server_nonce) const -> std::string;

    /** Returns whether \p proof is the proof of \p side; compares in constant time. */
    [[nodiscard]] auto verify(proof_side side, std::string_view client_nonce,
                              std::string_view server_nonce, std::string_view proof) const -> bool;

  private:
    explicit cluster_key(std::string secret) : secret_(std::move(secret)) {}

    std::string secret_;
};

/** Returns a fresh nonce of 128 random bits from the operating system, as hexadecimal digits. */
[[nodiscard]] auto make_nonce() -> std::string;

} // namespace sycamorewinch
