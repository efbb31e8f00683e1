/** \file
 * The CBOR encoding of log entries, in messages between replicas and in the stored log.
 */
#pragma once

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "consensus/log_entry.h"

namespace sycamorewinch {

/** Appends \p entry to \p writer as one CBOR array. */
void write_entry(cbor_writer& writer, const log_entry& entry);
/** Reads one entry from \p reader. After an error, which \p reader records, the entry is
 * unspecified: check \p reader before using it. */
[[nodiscard]] auto read_entry(cbor_reader& reader) -> log_entry;

} // namespace sycamorewinch
