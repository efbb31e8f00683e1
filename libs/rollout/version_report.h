/** \file
 * What nodes measure of the software versions of a service while a roll-out of it is running.
 *
 * The node beside a target measures it. Reports contain increments since the node's previous
 * report, so that publishers can add them up and a lost report loses evidence only.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "codec/record_list.h"

namespace sycamorewinch {

/** The responses of one software version of a service to the calls of one row. */
struct version_sample {
    std::string service_;
    std::string version_; ///< Software version of the targets.
    std::string row_;     ///< Service of the row that the calls matched.
    std::uint64_t responses_ = 0;
    std::uint64_t failures_ = 0; ///< Of these, server errors and broken connections.
    std::uint64_t slow_ = 0;     ///< Of these, slower than the row's target latency.

    [[nodiscard]] auto operator==(const version_sample&) const -> bool = default;
};

/** The requests that targets of one software version are running or waiting for. */
struct version_load {
    std::string service_;
    std::string version_;
    std::uint64_t in_flight_ = 0;
    std::uint64_t targets_ = 0; ///< Targets in this sum.

    [[nodiscard]] auto operator==(const version_load&) const -> bool = default;
};

/** The measurements of one node, or of all nodes below one publisher. */
struct version_report {
    std::vector<version_sample> samples_; ///< Increments.
    std::vector<version_load> loads_;     ///< Current values.

    [[nodiscard]] auto empty() const -> bool { return samples_.empty() && loads_.empty(); }
    [[nodiscard]] auto operator==(const version_report&) const -> bool = default;
};

/** Adds the samples of \p added to \p total; loads are appended by service and version. */
void merge_report(version_report& total, const version_report& added);

/** Appends \p report to \p writer as one CBOR array. */
void write_version_report(cbor_writer& writer, const version_report& report);
/** Reads one report; check \p reader for errors afterwards. Entries that cannot be read are skipped
 * and passed to \p on_skipped. */
[[nodiscard]] auto read_version_report(cbor_reader& reader,
                                       const skipped_record_hook& on_skipped = {})
    -> version_report;

} // namespace sycamorewinch
