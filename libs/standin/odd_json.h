/** \file
 * Damages JSON texts at random, for tests that a reader of texts from other writers neither ends
 * nor takes a damaged one for a valid one.
 */
#pragma once

#include <cstdint>
#include <string>

#include "base/random.h"

namespace sycamorewinch {

/** Returns how many odd texts a test tries: SYCAMOREWINCH_ODD_TEXTS, or 2,000. */
[[nodiscard]] auto odd_text_count() -> std::uint64_t;

/** Returns a generator with the seed SYCAMOREWINCH_SEED, or 43. */
[[nodiscard]] auto odd_text_random() -> random_hook;

/** Returns \p text, a JSON text, with one or several of its values replaced by odd ones (of another
 * type, out of range, deeply nested, very long, not UTF-8), with members repeated or removed, or
 * with bytes cut off, changed or added. */
[[nodiscard]] auto damage_json(const std::string& text, const random_hook& random) -> std::string;

} // namespace sycamorewinch
