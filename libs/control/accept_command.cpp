#include "control/accept_command.h"

#include "base/enum_names.h"
#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"
#include "table/row_codec.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<accept_status, 3> status_names{{"accepted", "conflict", "refused"}};

} // namespace

auto name_of(accept_status status) -> std::string_view
{
    return status_names.name(status);
}

auto encode_command(const accept_command& command) -> std::string
{
    cbor_writer writer;
    writer.array(7).text(command.edit_id_).text(command.operator_);
    writer.number(command.base_.number_).digest_value(command.base_.digest_);
    write_change(writer, command.change_);
    writer.number(command.number_).bytes(command.document_);
    return writer.take();
}

auto decode_accept_command(std::string_view bytes) -> result<accept_command>
{
    accept_command command;
    cbor_reader reader(bytes);
    reader.array(7);
    command.edit_id_ = reader.text();
    command.operator_ = reader.text();
    command.base_.number_ = reader.number();
    command.base_.digest_ = reader.digest_value();
    command.change_ = read_change(reader);
    command.number_ = reader.number();
    command.document_ = reader.bytes();
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return command;
}

auto encode_outcome(const accept_outcome& outcome) -> std::string
{
    cbor_writer writer;
    writer.array(5).number(static_cast<std::uint64_t>(outcome.status_));
    writer.number(outcome.version_.number_).digest_value(outcome.version_.digest_);
    writer.array(outcome.conflicts_.size());
    for (const auto& conflict : outcome.conflicts_) {
        writer.array(4).text(conflict.service_);
        writer.number(static_cast<std::uint64_t>(conflict.column_));
        writer.text(conflict.current_).text(conflict.proposed_);
    }
    writer.text(outcome.message_);
    return writer.take();
}

auto decode_accept_outcome(std::string_view bytes) -> result<accept_outcome>
{
    accept_outcome outcome;
    cbor_reader reader(bytes);
    reader.array(5);
    const auto status = reader.number();
    if (status >= status_names.size()) {
        reader.reject("outcome of unknown status");
    }
    outcome.status_ = static_cast<accept_status>(status);
    outcome.version_.number_ = reader.number();
    outcome.version_.digest_ = reader.digest_value();
    for (auto remaining = reader.list(); remaining > 0 && reader.good(); --remaining) {
        cell_conflict conflict;
        reader.array(4);
        conflict.service_ = reader.text();
        const auto column = reader.number();
        if (column >= table_column_count) {
            reader.reject("conflict in an unknown column");
        }
        conflict.column_ = static_cast<table_column>(column);
        conflict.current_ = reader.text();
        conflict.proposed_ = reader.text();
        outcome.conflicts_.push_back(std::move(conflict));
    }
    outcome.message_ = reader.text();
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return outcome;
}

} // namespace sycamorewinch
