/** \file
 * The secret that every process of one system shares, and proofs that a peer holds it.
 *
 * A proof is an HMAC-SHA256 over both sides' nonces and the side's name, so that neither side's
 * proof can be played back as the other's.
 */
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"

namespace sycamorewinch {

/** Which end of a connection a proof speaks for. */
enum class proof_side : std::uint8_t { client, server };

/** The shared secret. */
class cluster_key {
  public:
    /** Reads the key from a file of at least 16 bytes; white space at the ends is dropped. */
    [[nodiscard]] static auto read(const std::string& path) -> result<cluster_key>;

    /** Makes a key of \p secret, which has at least 16 bytes. */
    [[nodiscard]] static auto create(std::string secret) -> result<cluster_key>;

    /** Returns the proof for \p side, as hexadecimal digits. */
    [[nodiscard]] auto prove(proof_side side, std::string_view client_nonce,
                             std::string_view server_nonce) const -> std::string;

    /** Compares \p proof with the right one in constant time. */
    [[nodiscard]] auto verify(proof_side side, std::string_view client_nonce,
                              std::string_view server_nonce, std::string_view proof) const -> bool;

  private:
    explicit cluster_key(std::string secret) : secret_(std::move(secret)) {}

    std::string secret_;
};

/** Returns a fresh nonce of 128 random bits from the operating system, as hexadecimal digits. */
[[nodiscard]] auto make_nonce() -> std::string;

} // namespace sycamorewinch
