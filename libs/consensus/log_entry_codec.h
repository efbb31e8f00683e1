/** \file
 * The CBOR encoding of log entries, in messages between replicas and in the stored log.
 */
#pragma once

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "consensus/log_entry.h"

namespace sycamorewinch {

/** The maximum payload of one entry, in bytes. */
constexpr std::size_t max_entry_payload_bytes = 32U * 1024 * 1024;

/** Appends \p entry to \p writer as one CBOR array. */
void write_entry(cbor_writer& writer, const log_entry& entry);
/** Reads one entry from \p reader; errors are reported by the reader, so check it afterwards. */
[[nodiscard]] auto read_entry(cbor_reader& reader) -> log_entry;

} // namespace sycamorewinch
