/** \file
 * CBOR encoding of rows, connection bounds, organisations and table changes, for the replicated log
 * and the wire. Without organisations and anonymous rows, the bytes are those of earlier versions.
 */
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "table/table_change.h"

namespace sycamorewinch {

/** Appends \p value to \p writer as one CBOR array. */
void write_row(cbor_writer& writer, const row& value);
/** Reads one row. Errors are reported by cbor_reader::finish(). */
[[nodiscard]] auto read_row(cbor_reader& reader) -> row;

/** Returns \p value encoded as CBOR. The encoding is canonical: equal rows give equal bytes. */
[[nodiscard]] auto encode_row(const row& value) -> std::string;

/** Returns \p bounds encoded as CBOR. Equal bounds give equal bytes. */
[[nodiscard]] auto encode_bounds(const connection_bounds& bounds) -> std::string;
/** Appends \p bounds to \p writer as one CBOR array. */
void write_bounds(cbor_writer& writer, const connection_bounds& bounds);
/** Reads connection bounds. Errors are reported by cbor_reader::finish(). */
[[nodiscard]] auto read_bounds(cbor_reader& reader) -> connection_bounds;

/** Returns \p value encoded as CBOR. Equal organisations give equal bytes. */
[[nodiscard]] auto encode_organisation(const organisation& value) -> std::string;
/** Appends \p organisations to \p writer as one CBOR array. */
void write_organisations(cbor_writer& writer, const std::vector<organisation>& organisations);
/** Reads organisations. Errors are reported by cbor_reader::finish(). */
[[nodiscard]] auto read_organisations(cbor_reader& reader) -> std::vector<organisation>;

/** Appends \p change to \p writer as one CBOR array. */
void write_change(cbor_writer& writer, const table_change& change);
/** Reads one change. Errors are reported by cbor_reader::finish(). */
[[nodiscard]] auto read_change(cbor_reader& reader) -> table_change;

} // namespace sycamorewinch
