#include "codec/cbor_reader.h"

#include <optional>

#include <QByteArray>
#include <QCborStreamReader>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr int max_item_depth = 64; ///< Of nested arrays in an item that is skipped.

} // namespace

struct cbor_reader::state {
    explicit state(std::string_view bytes)
        : input_(QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size()))),
          reader_(input_)
    {
    }

    QByteArray input_;
    QCborStreamReader reader_;
    std::optional<std::string> error_message_;

    [[nodiscard]] auto remaining_bytes() const -> std::size_t
    {
        return static_cast<std::size_t>(input_.size() - reader_.currentOffset());
    }

    // QCborStreamReader::next() fails on a text string that is not UTF-8, without reaching its end.
    auto skip_string() -> bool
    {
        if (!reader_.isLengthKnown() || reader_.length() > remaining_bytes()) {
            return false;
        }
        std::string skipped(reader_.length(), '\0');
        auto chunk = QCborStreamReader::Ok;
        while (chunk == QCborStreamReader::Ok) {
            chunk = reader_.readStringChunk(skipped.data(), static_cast<qsizetype>(skipped.size()))
                        .status;
        }
        return chunk == QCborStreamReader::EndOfString;
    }

    auto skip(int max_depth) -> bool
    {
        if (reader_.isString() || reader_.isByteArray()) {
            return skip_string();
        }
        if (!reader_.isContainer()) {
            return reader_.isValid() && reader_.next();
        }
        if (max_depth == 0 || !reader_.enterContainer()) {
            return false;
        }
        while (reader_.hasNext()) {
            if (!skip(max_depth - 1)) {
                return false;
            }
        }
        return reader_.lastError() == QCborError::NoError && reader_.leaveContainer();
    }

    // Decoding code never leaves an array itself: it is left once all its items have been read.
    void leave_finished_arrays()
    {
        // Where the next item is malformed there is none, and the array cannot be left either.
        while (reader_.containerDepth() > 0 && !reader_.hasNext()) {
            if (reader_.lastError() != QCborError::NoError || !reader_.leaveContainer()) {
                set_error("malformed item");
                return;
            }
        }
    }

    void set_error(std::string_view reason)
    {
        if (!error_message_) {
            error_message_ = fmt::format("{} at byte {}", reason, reader_.currentOffset());
        }
    }
};

cbor_reader::cbor_reader(std::string_view bytes) : state_(std::make_unique<state>(bytes)) {}
cbor_reader::~cbor_reader() = default;

void cbor_reader::reject(std::string_view reason)
{
    state_->set_error(reason);
}

auto cbor_reader::good() const -> bool
{
    return !state_->error_message_;
}

auto cbor_reader::list() -> std::size_t
{
    if (!good()) {
        return 0;
    }
    auto& reader = state_->reader_;
    if (!reader.isArray() || !reader.isLengthKnown()) {
        reject("expected an array");
        return 0;
    }
    const auto count = reader.length();
    if (count > state_->remaining_bytes()) { // each item has at least one byte
        reject("array longer than the input");
        return 0;
    }
    if (!reader.enterContainer()) {
        reject("malformed array");
        return 0;
    }
    state_->leave_finished_arrays();
    return static_cast<std::size_t>(count);
}

void cbor_reader::array(std::size_t count)
{
    const auto found = list();
    if (good() && found != count) {
        reject("unexpected number of items in the array");
    }
}

auto cbor_reader::optional() -> bool
{
    const auto count = list();
    if (count > 1) {
        reject("expected no or one item in the array");
    }
    return good() && count == 1;
}

auto cbor_reader::number() -> std::uint64_t
{
    if (!good() || !state_->reader_.isUnsignedInteger()) {
        reject("expected an unsigned integer");
        return 0;
    }
    const auto value = state_->reader_.toUnsignedInteger();
    state_->reader_.next();
    state_->leave_finished_arrays();
    return value;
}

auto cbor_reader::real() -> double
{
    if (!good() || !state_->reader_.isDouble()) {
        reject("expected a floating-point number");
        return 0;
    }
    const auto value = state_->reader_.toDouble();
    state_->reader_.next();
    state_->leave_finished_arrays();
    return value;
}

auto cbor_reader::boolean() -> bool
{
    if (!good() || !state_->reader_.isBool()) {
        reject("expected a boolean");
        return false;
    }
    const auto value = state_->reader_.toBool();
    state_->reader_.next();
    state_->leave_finished_arrays();
    return value;
}

auto cbor_reader::text() -> std::string
{
    auto& reader = state_->reader_;
    if (!good() || !reader.isString() || !reader.isLengthKnown()) {
        reject("expected a text string");
        return {};
    }
    if (reader.length() > state_->remaining_bytes()) {
        reject("text string longer than the input");
        return {};
    }
    const auto chunk = reader.readString();
    if (chunk.status != QCborStreamReader::Ok) {
        reject("malformed text string");
        return {};
    }
    reader.readString(); // consumes the end-of-string marker
    state_->leave_finished_arrays();
    return chunk.data.toStdString();
}

auto cbor_reader::bytes() -> std::string
{
    auto& reader = state_->reader_;
    if (!good() || !reader.isByteArray() || !reader.isLengthKnown()) {
        reject("expected a byte string");
        return {};
    }
    if (reader.length() > state_->remaining_bytes()) {
        reject("byte string longer than the input");
        return {};
    }
    const auto chunk = reader.readByteArray();
    if (chunk.status != QCborStreamReader::Ok) {
        reject("malformed byte string");
        return {};
    }
    reader.readByteArray(); // consumes the end-of-string marker
    state_->leave_finished_arrays();
    return chunk.data.toStdString();
}

auto cbor_reader::item() -> std::string_view
{
    auto& reader = state_->reader_;
    if (!good()) {
        return {};
    }
    const auto start = reader.currentOffset();
    if (!state_->skip(max_item_depth)) {
        reject("malformed item");
        return {};
    }
    const auto end = reader.currentOffset();
    state_->leave_finished_arrays();
    return {state_->input_.constData() + start, static_cast<std::size_t>(end - start)};
}

auto cbor_reader::digest_value() -> digest
{
    constexpr std::size_t digest_bytes = 16;
    constexpr unsigned bits_in_byte = 8;
    const auto packed = bytes();
    if (packed.size() != digest_bytes) {
        reject("expected a digest of 16 bytes");
        return {};
    }
    const auto word = [&packed](std::size_t start) {
        std::uint64_t value = 0;
        for (std::size_t index = 0; index < sizeof(value); ++index) {
            const auto byte = static_cast<unsigned char>(packed[start + index]);
            value |= static_cast<std::uint64_t>(byte) << (bits_in_byte * index);
        }
        return value;
    };
    return {word(0), word(sizeof(std::uint64_t))};
}

auto cbor_reader::finish() -> result<void>
{
    if (good() && state_->reader_.currentOffset() != state_->input_.size()) {
        reject("unexpected bytes after the last item");
    }
    if (!good()) {
        return failure(error_kind::corrupt, *state_->error_message_);
    }
    return {};
}

} // namespace sycamorewinch
