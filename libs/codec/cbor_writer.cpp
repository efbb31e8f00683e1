#include "codec/cbor_writer.h"

#include <QByteArray>
#include <QCborStreamWriter>

namespace sycamorewinch {

struct cbor_writer::state {
    QByteArray buffer_;
    QCborStreamWriter writer_{&buffer_};
};

cbor_writer::cbor_writer() : state_(std::make_unique<state>()) {}
cbor_writer::cbor_writer(cbor_writer&&) noexcept = default;
auto cbor_writer::operator=(cbor_writer&&) noexcept -> cbor_writer& = default;
cbor_writer::~cbor_writer() = default;

auto cbor_writer::array(std::size_t count) -> cbor_writer&
{
    // QCborStreamWriter documents a matching endArray(), but for an array of definite length that
    // call writes nothing.
    state_->writer_.startArray(count);
    return *this;
}

auto cbor_writer::number(std::uint64_t value) -> cbor_writer&
{
    state_->writer_.append(static_cast<quint64>(value));
    return *this;
}

auto cbor_writer::real(double value) -> cbor_writer&
{
    state_->writer_.append(value);
    return *this;
}

auto cbor_writer::boolean(bool value) -> cbor_writer&
{
    state_->writer_.append(value);
    return *this;
}

auto cbor_writer::text(std::string_view value) -> cbor_writer&
{
    state_->writer_.appendTextString(value.data(), static_cast<qsizetype>(value.size()));
    return *this;
}

auto cbor_writer::bytes(std::string_view value) -> cbor_writer&
{
    state_->writer_.appendByteString(value.data(), static_cast<qsizetype>(value.size()));
    return *this;
}

auto cbor_writer::digest_value(const digest& value) -> cbor_writer&
{
    constexpr unsigned bits_in_byte = 8;
    std::string packed;
    for (const auto word : {value.high_, value.low_}) {
        for (unsigned index = 0; index < sizeof(word); ++index) {
            packed.push_back(static_cast<char>(word >> (bits_in_byte * index)));
        }
    }
    return bytes(packed);
}

auto cbor_writer::take() -> std::string
{
    auto bytes = state_->buffer_.toStdString();
    state_ = std::make_unique<state>();
    return bytes;
}

} // namespace sycamorewinch
