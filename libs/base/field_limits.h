/** \file
 * Limits on the values that operators, targets and settings bring into the system. Each value is
 * checked where it is admitted: a table by check_table() and check_organisations(), an announcement
 * by announcement_problem(), an order of a roll-out by rollout_service, an edit by the operator
 * API, names of processes by their settings. What has been admitted can be written, sent and read
 * again, as decoders have no limits of their own (see codec/cbor_reader.h).
 *
 * The lists of a row and the number of its destinations have no limit besides the size of the edit.
 */
#pragma once

#include <cstddef>

namespace sycamorewinch {

/** The name of a service, target, availability zone, caller, organisation, operator or process, and
 * the id of an edit. */
constexpr std::size_t max_name_bytes = 64;
/** A host or path prefix. */
constexpr std::size_t max_path_bytes = 256;
/** The software version of a target. */
constexpr std::size_t max_software_version_bytes = 160;
/** The service and the version of a roll-out. */
constexpr std::size_t max_rollout_name_bytes = 160;
constexpr std::size_t max_api_key_bytes = 256;

constexpr std::size_t max_table_rows = 20'000;
constexpr std::size_t max_organisations = 20'000;
constexpr std::size_t max_api_keys = 20'000;        ///< Of one organisation.
constexpr std::size_t max_rollout_records = 16'384; ///< One for each service.

/** The text of a whole table in the editor's own format. */
constexpr std::size_t max_document_bytes = 8U * 1024 * 1024;
/** The payload of one entry of the replicated log. */
constexpr std::size_t max_entry_payload_bytes = 32U * 1024 * 1024;
/** One message between two processes of the system. */
constexpr std::size_t max_message_bytes = 64U * 1024 * 1024;

} // namespace sycamorewinch
