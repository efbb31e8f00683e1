#include "table/table_csv.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <optional>

#include <csv.h>
#include <fmt/format.h>

#include "base/enum_names.h"
#include "base/field_limits.h"

namespace sycamorewinch {

namespace {

constexpr enum_names<table_column, table_column_count> column_names{
    {"service", "path_prefix", "weights", "rate", "burst", "concurrency", "callers", "timeout_ms",
     "retries", "repeatable", "depends_on", "host", "split", "priority", "target_latency_ms",
     "allow_anonymous"}};

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::size_t max_csv_bytes = 16U * 1024 * 1024;

auto split(std::string_view text, char separator) -> std::vector<std::string_view>
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

auto parse_number(std::string_view text) -> result<std::uint32_t>
{
    std::uint32_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [parsed_end, problem] = std::from_chars(text.data(), end, value);
    if (problem != std::errc() || parsed_end != end) {
        return failure(error_kind::invalid_input,
                       fmt::format("'{}' is no whole number from 0 to {}", text, UINT32_MAX));
    }
    return value;
}

auto parse_limit(std::string_view text) -> result<caller_limit>
{
    const auto parts = split(text, '/');
    if (parts.size() != 3) {
        return failure(error_kind::invalid_input,
                       fmt::format("'{}' must be rate/burst/concurrency", text));
    }
    std::array<std::uint32_t, 3> numbers{};
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        const auto number = parse_number(parts[index]);
        if (!number) {
            return tl::unexpected(number.error());
        }
        numbers.at(index) = *number;
    }
    return caller_limit{numbers[0], numbers[1], numbers[2]};
}

auto parse_weight(std::string_view text) -> result<traffic_weight>
{
    const auto colon = text.find(':');
    const auto equals = text.rfind('=');
    const auto scope = text.substr(0, colon);
    if (colon == std::string_view::npos || equals == std::string_view::npos || equals < colon ||
        (scope != "target" && scope != "zone")) {
        return failure(error_kind::invalid_input,
                       fmt::format("'{}' must be target:NAME=WEIGHT or zone:NAME=WEIGHT", text));
    }
    const auto weight = parse_number(text.substr(equals + 1));
    if (!weight) {
        return tl::unexpected(weight.error());
    }
    return traffic_weight{scope == "zone" ? weight_scope::availability_zone : weight_scope::target,
                          std::string(text.substr(colon + 1, equals - colon - 1)), *weight};
}

auto parse_share(std::string_view text) -> result<service_share>
{
    const auto equals = text.rfind('=');
    if (equals == std::string_view::npos || equals == 0) {
        return failure(error_kind::invalid_input, fmt::format("'{}' must be SERVICE=WEIGHT", text));
    }
    const auto weight = parse_number(text.substr(equals + 1));
    if (!weight) {
        return tl::unexpected(weight.error());
    }
    return service_share{std::string(text.substr(0, equals)), *weight};
}

auto parse_named_limit(std::string_view text) -> result<named_limit>
{
    const auto equals = text.rfind('=');
    if (equals == std::string_view::npos || equals == 0) {
        return failure(error_kind::invalid_input,
                       fmt::format("'{}' must be CALLER=rate/burst/concurrency", text));
    }
    const auto limit = parse_limit(text.substr(equals + 1));
    if (!limit) {
        return tl::unexpected(limit.error());
    }
    return named_limit{std::string(text.substr(0, equals)), *limit};
}

template <typename Item>
auto parse_list(std::string_view text, result<Item> (*parse)(std::string_view))
    -> result<std::vector<Item>>
{
    std::vector<Item> items;
    for (const auto part : split(text, ';')) {
        auto item = parse(part);
        if (!item) {
            return tl::unexpected(item.error());
        }
        items.push_back(std::move(*item));
    }
    return items;
}

auto parse_name(std::string_view text) -> result<std::string>
{
    if (text.size() > max_name_bytes) {
        return failure(error_kind::too_large,
                       fmt::format("a name may have at most {} bytes", max_name_bytes));
    }
    return std::string(text);
}

auto parse_path(std::string_view text) -> result<std::string>
{
    if (text.size() > max_path_bytes) {
        return failure(error_kind::too_large,
                       fmt::format("a path may have at most {} bytes", max_path_bytes));
    }
    return std::string(text);
}

auto parse_yes_no(std::string_view text) -> result<bool>
{
    if (text != "yes" && text != "no") {
        return failure(error_kind::invalid_input, fmt::format("'{}' must be yes or no", text));
    }
    return text == "yes";
}

auto parse_milliseconds(std::string_view text) -> result<std::chrono::milliseconds>
{
    return parse_number(text).map([](auto count) { return std::chrono::milliseconds(count); });
}

/** Stores a parsed value in \p destination, or returns the error. */
template <typename Value>
auto store(Value& destination, result<Value> parsed) -> result<void>
{
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    destination = std::move(*parsed);
    return {};
}

auto list_text(const std::vector<traffic_weight>& weights) -> std::string
{
    std::string text;
    for (const auto& weight : weights) {
        const auto* scope = weight.scope_ == weight_scope::target ? "target" : "zone";
        text +=
            fmt::format("{}{}:{}={}", text.empty() ? "" : ";", scope, weight.name_, weight.weight_);
    }
    return text;
}

auto list_text(const std::vector<service_share>& shares) -> std::string
{
    std::string text;
    for (const auto& [service, weight] : shares) {
        text += fmt::format("{}{}={}", text.empty() ? "" : ";", service, weight);
    }
    return text;
}

auto list_text(const std::vector<named_limit>& limits) -> std::string
{
    std::string text;
    for (const auto& [caller, limit] : limits) {
        text += fmt::format("{}{}={}/{}/{}", text.empty() ? "" : ";", caller,
                            limit.requests_per_second_, limit.burst_, limit.concurrency_);
    }
    return text;
}

void append_cell(std::string& out, std::string_view cell)
{
    constexpr std::size_t quotes = 2;
    if (cell.find_first_of(",\"\r\n") == std::string_view::npos) {
        out += cell;
        return;
    }
    std::string quoted(cell.size() * 2 + quotes, '\0');
    quoted.resize(csv_write(quoted.data(), quoted.size(), cell.data(), cell.size()));
    out += quoted;
}

/** Builds rows from the cells that the CSV parser reports; keeps the first error. */
struct csv_collector {
    std::vector<table_column> columns_;
    std::vector<std::string> cells_;
    std::vector<row> rows_;
    std::size_t line_ = 0; ///< Counts CSV records; the heading is line 1.
    std::optional<error> error_;

    void set_error(std::string_view where, std::string_view reason)
    {
        if (!error_) {
            error_ = error{error_kind::invalid_input,
                           fmt::format("line {}, {}: {}", line_, where, reason)};
        }
    }

    void finish_heading()
    {
        if (cells_.size() == 1 && cells_.front().find_first_of(";\t") != std::string::npos) {
            set_error("heading",
                      "the cells are separated by semicolons or tabs; save the file as CSV "
                      "with commas");
            return;
        }
        for (const auto& cell : cells_) {
            const auto column = parse_table_column(cell);
            if (!column) {
                set_error("heading", column.error().message_);
                return;
            }
            if (std::ranges::find(columns_, *column) != columns_.end()) {
                set_error("heading", fmt::format("column '{}' is listed twice", cell));
            }
            columns_.push_back(*column);
        }
        if (!has_required_columns()) {
            const auto& names = column_names.names_;
            set_error(
                "heading",
                fmt::format("must name the columns {}",
                            fmt::join(names.begin(), names.begin() + required_column_count, ",")));
        }
    }

    [[nodiscard]] auto has_required_columns() const -> bool
    {
        const auto required = std::ranges::count_if(columns_, [](auto column) {
            return static_cast<std::size_t>(column) < required_column_count;
        });
        return static_cast<std::size_t>(required) == required_column_count;
    }

    void finish_row()
    {
        if (std::ranges::all_of(cells_, &std::string::empty)) {
            return; // spreadsheets append empty rows
        }
        if (cells_.size() != columns_.size()) {
            set_error("row",
                      fmt::format("has {} cells, expected {}", cells_.size(), columns_.size()));
            return;
        }
        row value;
        for (std::size_t index = 0; index < cells_.size(); ++index) {
            if (const auto set = set_cell(value, columns_[index], cells_[index]); !set) {
                set_error(fmt::format("column {}", name_of(columns_[index])), set.error().message_);
            }
        }
        rows_.push_back(std::move(value));
    }

    void finish_line()
    {
        ++line_;
        if (line_ == 1) {
            finish_heading();
        }
        else if (!error_) {
            finish_row();
        }
        cells_.clear();
    }
};

void on_cell(void* text, std::size_t length, void* collector)
{
    auto* cells = &static_cast<csv_collector*>(collector)->cells_;
    cells->emplace_back(static_cast<const char*>(text), length);
}

void on_record(int, void* collector)
{
    static_cast<csv_collector*>(collector)->finish_line();
}

} // namespace

auto name_of(table_column column) -> std::string_view
{
    return column_names.name(column);
}

auto parse_table_column(std::string_view name) -> result<table_column>
{
    if (const auto column = column_names.parse(name)) {
        return *column;
    }
    return failure(error_kind::invalid_input,
                   fmt::format("'{}' is not a column; the columns are {}", name,
                               fmt::join(column_names.names_, ",")));
}

auto cell_text(const row& value, table_column column) -> std::string
{
    switch (column) {
    case table_column::service:
        return value.service_;
    case table_column::path_prefix:
        return value.path_prefix_;
    case table_column::weights:
        return list_text(value.weights_);
    case table_column::rate:
        return std::to_string(value.default_limit_.requests_per_second_);
    case table_column::burst:
        return std::to_string(value.default_limit_.burst_);
    case table_column::concurrency:
        return std::to_string(value.default_limit_.concurrency_);
    case table_column::callers:
        return list_text(value.named_limits_);
    case table_column::timeout_ms:
        return std::to_string(value.timeout_.count());
    case table_column::retries:
        return std::to_string(value.retries_);
    case table_column::repeatable:
        return value.repeatable_ ? "yes" : "no";
    case table_column::depends_on:
        return fmt::format("{}", fmt::join(value.depends_on_, ";"));
    case table_column::host:
        return value.host_;
    case table_column::split:
        return list_text(value.split_);
    case table_column::priority:
        return std::to_string(value.priority_);
    case table_column::target_latency_ms:
        return std::to_string(value.target_latency_.count());
    case table_column::allow_anonymous:
        return value.allow_anonymous_ ? "yes" : "no";
    }
    return {};
}

auto set_cell(row& value, table_column column, std::string_view text) -> result<void>
{
    switch (column) {
    case table_column::service:
        return store(value.service_, parse_name(text));
    case table_column::path_prefix:
        return store(value.path_prefix_, parse_path(text));
    case table_column::weights:
        return store(value.weights_, parse_list(text, parse_weight));
    case table_column::rate:
        return store(value.default_limit_.requests_per_second_, parse_number(text));
    case table_column::burst:
        return store(value.default_limit_.burst_, parse_number(text));
    case table_column::concurrency:
        return store(value.default_limit_.concurrency_, parse_number(text));
    case table_column::callers:
        return store(value.named_limits_, parse_list(text, parse_named_limit));
    case table_column::timeout_ms:
        return store(value.timeout_, parse_milliseconds(text));
    case table_column::retries:
        return store(value.retries_, parse_number(text));
    case table_column::repeatable:
        return store(value.repeatable_, parse_yes_no(text));
    case table_column::depends_on:
        return store(value.depends_on_, parse_list(text, parse_name));
    case table_column::host:
        return store(value.host_, parse_path(text));
    case table_column::split:
        return store(value.split_, parse_list(text, parse_share));
    case table_column::priority:
        return store(value.priority_, parse_number(text));
    case table_column::target_latency_ms:
        return store(value.target_latency_, parse_milliseconds(text));
    case table_column::allow_anonymous:
        return store(value.allow_anonymous_, parse_yes_no(text));
    }
    return {};
}

namespace {

/** Returns how many columns must be written for no cell of \p rows to be lost. */
auto column_count(const std::vector<row>& rows) -> std::size_t
{
    if (std::ranges::any_of(rows, &row::allow_anonymous_)) {
        return table_column_count;
    }
    const auto required_columns_suffice = std::ranges::all_of(rows, [](const row& row) {
        return row.host_.empty() && row.split_.empty() && row.priority_ == 0 &&
               row.target_latency_ == std::chrono::milliseconds(0);
    });
    return required_columns_suffice ? required_column_count : table_column_count - 1;
}

} // namespace

auto write_csv(const std::vector<row>& rows) -> std::string
{
    const auto columns = column_count(rows);
    const auto& names = column_names.names_;
    auto out = fmt::format("{}\n", fmt::join(names.begin(), names.begin() + columns, ","));
    for (const auto& row : rows) {
        for (std::size_t index = 0; index < columns; ++index) {
            out += index == 0 ? "" : ",";
            append_cell(out, cell_text(row, static_cast<table_column>(index)));
        }
        out += '\n';
    }
    return out;
}

auto read_csv(std::string_view text) -> result<std::vector<row>>
{
    if (text.size() > max_csv_bytes) {
        return failure(error_kind::too_large,
                       fmt::format("the table may have at most {} bytes", max_csv_bytes));
    }
    if (text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size()); // written by spreadsheets
    }
    csv_parser parser{};
    csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI);
    csv_collector collector;
    const auto consumed =
        csv_parse(&parser, text.data(), text.size(), on_cell, on_record, &collector);
    if (consumed != text.size() || csv_fini(&parser, on_cell, on_record, &collector) != 0) {
        ++collector.line_;
        collector.set_error("row", "a quoted cell is not closed or contains an unescaped quote");
    }
    csv_free(&parser);
    if (collector.line_ == 0) {
        collector.set_error("heading", "the input is empty");
    }
    if (collector.error_) {
        return tl::unexpected(*collector.error_);
    }
    return std::move(collector.rows_);
}

} // namespace sycamorewinch
