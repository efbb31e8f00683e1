/** \file
 * Reads lists of independent records. A record that cannot be read is skipped, so that it does not
 * cost the other records of its message.
 *
 * \code
 * auto targets = read_record_list(reader, read_target, [&](const error& problem) { ... });
 * \endcode
 */
#pragma once

#include <functional>
#include <vector>

#include "base/result.h"
#include "codec/cbor_reader.h"

namespace sycamorewinch {

/** Receives the reason for each record that is skipped; may be empty. */
using skipped_record_hook = std::function<void(const error& problem)>;

/** Reads an array of records with \p read, which rejects a record through its reader. */
template <typename Record>
[[nodiscard]] auto read_record_list(cbor_reader& reader, Record (*read)(cbor_reader& reader),
                                    const skipped_record_hook& on_skipped) -> std::vector<Record>
{
    std::vector<Record> records;
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        cbor_reader record_reader(reader.item());
        if (!reader.good()) {
            break;
        }
        auto record = read(record_reader);
        if (const auto finished = record_reader.finish(); finished) {
            records.push_back(std::move(record));
        }
        else if (on_skipped) {
            on_skipped(finished.error());
        }
    }
    return records;
}

} // namespace sycamorewinch
