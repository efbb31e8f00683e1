#include "control/control_command.h"

#include "codec/cbor_reader.h"
#include "codec/cbor_writer.h"

namespace sycamorewinch {

namespace {

constexpr auto last_kind = command_kind::rollout;

} // namespace

auto encode_command(const control_command& command) -> std::string
{
    cbor_writer writer;
    writer.array(2).number(static_cast<std::uint64_t>(command.kind_)).bytes(command.body_);
    return writer.take();
}

auto decode_control_command(std::string_view bytes) -> result<control_command>
{
    control_command command;
    cbor_reader reader(bytes);
    reader.array(2);
    const auto kind = reader.number();
    if (kind > static_cast<std::uint64_t>(last_kind)) {
        reader.reject("command of unknown kind");
    }
    command.kind_ = static_cast<command_kind>(kind);
    command.body_ = reader.bytes();
    if (auto finished = reader.finish(); !finished) {
        return tl::unexpected(finished.error());
    }
    return command;
}

} // namespace sycamorewinch
