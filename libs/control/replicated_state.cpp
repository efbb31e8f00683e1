#include "control/replicated_state.h"

#include <fmt/core.h>

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "distribution/compressed_message.h"
#include "table/row_codec.h"
#include "table/table_check.h"

namespace sycamorewinch {

namespace {

constexpr std::size_t max_conflict_cells = 256;
constexpr std::size_t fields = 6; ///< Of the encoded state.
constexpr std::size_t fields_with_organisations = fields + 1;

void write_version(cbor_writer& writer, const table_version& version)
{
    writer.number(version.number_).digest_value(version.digest_);
}

auto read_version(cbor_reader& reader) -> table_version
{
    table_version version;
    version.number_ = reader.number();
    version.digest_ = reader.digest_value();
    return version;
}

auto read_history_entry(cbor_reader& reader) -> history_entry
{
    history_entry entry;
    reader.array(5);
    entry.version_ = read_version(reader);
    entry.operator_ = reader.text();
    entry.edit_id_ = reader.text();
    entry.rows_changed_ = reader.number();
    return entry;
}

/** Appends to \p cells the differences of \p proposed from \p current, which is null for a new row.
 */
void append_cell_differences(const row* current, const row& proposed,
                             std::vector<cell_conflict>& cells)
{
    for (std::size_t index = 0; index < table_column_count; ++index) {
        const auto column = static_cast<table_column>(index);
        const auto current_text = current == nullptr ? std::string() : cell_text(*current, column);
        const auto proposed_text = cell_text(proposed, column);
        if (current_text != proposed_text && cells.size() < max_conflict_cells) {
            cells.push_back({proposed.service_, column, current_text, proposed_text});
        }
    }
}

auto conflict_cells(const table& current, const table_change& change) -> std::vector<cell_conflict>
{
    std::vector<cell_conflict> cells;
    for (const auto& row : change.upserts_) {
        append_cell_differences(current.find(row.service_), row, cells);
    }
    for (const auto& service : change.removals_) {
        if (current.find(service) != nullptr && cells.size() < max_conflict_cells) {
            cells.push_back({service, table_column::service, service, ""});
        }
    }
    return cells;
}

} // namespace

replicated_state::replicated_state(state_limits limits)
    : limits_(limits), current_(std::make_shared<const table>(make_table(0, {})))
{
}

auto replicated_state::apply(const accept_command& command) -> accept_outcome
{
    if (const auto retained = outcome_of(command.edit_id_)) {
        return *retained;
    }
    auto outcome = apply_new_edit(command);
    if (command.number_ == 0 || outcome.status_ == accept_status::accepted) {
        retain_outcome(command.edit_id_, outcome);
    }
    return outcome;
}

auto replicated_state::apply_new_edit(const accept_command& command) -> accept_outcome
{
    if (command.base_ != current_->version_) {
        return {accept_status::conflict, current_->version_,
                conflict_cells(*current_, command.change_),
                fmt::format("the table is at version {}, but the edit is based on {}",
                            to_text(current_->version_), to_text(command.base_))};
    }
    const auto current = current_->version_.number_;
    if (command.number_ != 0 && command.number_ <= current) {
        return {accept_status::refused,
                current_->version_,
                {},
                fmt::format("version {} is not above the current version {}", command.number_,
                            current)};
    }
    auto next = apply_change(*current_, command.change_,
                             command.number_ != 0 ? command.number_ : current + 1);
    if (const auto findings = check_table(next.rows_); !findings.empty()) {
        const auto& first_finding = findings.front();
        return {accept_status::refused,
                current_->version_,
                {},
                fmt::format("{}, column {}: {}", first_finding.service_,
                            name_of(first_finding.column_), first_finding.message_)};
    }
    if (const auto problem = check_organisations(next.organisations_)) {
        return {accept_status::refused, current_->version_, {}, *problem};
    }
    auto document = command.document_.empty()
                        ? result<std::string>(std::string())
                        : decompress_with_prefix(document_, command.document_);
    if (!document) {
        return {accept_status::refused, current_->version_, {}, document.error().message_};
    }
    if (command.number_ == 0 && next.version_.digest_ == current_->version_.digest_) {
        return {accept_status::refused, current_->version_, {}, "the edit changes nothing"};
    }
    current_ = std::make_shared<const table>(std::move(next));
    document_ = std::move(*document);
    history_.push_back({current_->version_, command.operator_, command.edit_id_,
                        command.change_.upserts_.size() + command.change_.removals_.size()});
    if (history_.size() > limits_.history_) {
        history_.pop_front();
    }
    return {accept_status::accepted, current_->version_, {}, {}};
}

void replicated_state::retain_outcome(const std::string& edit_id, const accept_outcome& outcome)
{
    outcomes_[edit_id] = outcome;
    outcome_order_.push_back(edit_id);
    if (outcome_order_.size() > limits_.retained_edits_) {
        outcomes_.erase(outcome_order_.front());
        outcome_order_.pop_front();
    }
}

auto replicated_state::outcome_of(const std::string& edit_id) const -> std::optional<accept_outcome>
{
    const auto found = outcomes_.find(edit_id);
    if (found == outcomes_.end()) {
        return std::nullopt;
    }
    return found->second;
}

auto replicated_state::encode() const -> std::string
{
    cbor_writer writer;
    const bool has_organisations = !current_->organisations_.empty();
    writer.array(has_organisations ? fields_with_organisations : fields);
    write_version(writer.array(2), current_->version_);
    write_bounds(writer, current_->bounds_);
    writer.bytes(compress(document_));
    writer.array(current_->rows_.size());
    for (const auto& row : current_->rows_) {
        write_row(writer, row);
    }
    writer.array(outcome_order_.size());
    for (const auto& edit_id : outcome_order_) {
        writer.array(2).text(edit_id).bytes(encode_outcome(outcomes_.at(edit_id)));
    }
    writer.array(history_.size());
    for (const auto& entry : history_) {
        write_version(writer.array(5), entry.version_);
        writer.text(entry.operator_).text(entry.edit_id_).number(entry.rows_changed_);
    }
    if (has_organisations) {
        write_organisations(writer, current_->organisations_);
    }
    return writer.take();
}

auto replicated_state::decode(std::string_view bytes, state_limits limits)
    -> result<replicated_state>
{
    replicated_state state(limits);
    cbor_reader reader(bytes);
    const bool has_organisations = reader.list() == fields_with_organisations;
    reader.array(2);
    const auto version = read_version(reader);
    const auto bounds = read_bounds(reader);
    auto document = decompress(reader.bytes());
    if (!document) {
        return tl::unexpected(document.error());
    }
    state.document_ = std::move(*document);
    std::vector<row> rows;
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        rows.push_back(read_row(reader));
    }
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        reader.array(2);
        const auto edit_id = reader.text();
        const auto outcome = decode_accept_outcome(reader.bytes());
        if (!outcome) {
            return tl::unexpected(outcome.error());
        }
        state.retain_outcome(edit_id, *outcome);
    }
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        state.history_.push_back(read_history_entry(reader));
    }
    auto organisations =
        has_organisations ? read_organisations(reader) : std::vector<organisation>();
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    auto table = make_table(version.number_, std::move(rows), bounds, std::move(organisations));
    if (table.version_ != version) {
        return failure(error_kind::corrupt,
                       fmt::format("the stored table has version {}, but its rows give {}",
                                   to_text(version), to_text(table.version_)));
    }
    state.current_ = std::make_shared<const sycamorewinch::table>(std::move(table));
    return state;
}

} // namespace sycamorewinch
