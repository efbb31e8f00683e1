#include "settings/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <fmt/format.h>

#include "base/field_limits.h"
#include "base/split.h"

namespace sycamorewinch::internal {

auto settings_reader::is_set(const std::string& name) const -> bool
{
    return values_.count(name) > 0 && !values_[name].as<std::string>().empty();
}

auto settings_reader::text(const std::string& name) -> std::string
{
    if (!is_set(name)) {
        reject(name, "", "a value is required");
        return {};
    }
    return values_[name].as<std::string>();
}

auto settings_reader::optional_text(const std::string& name) -> std::string
{
    return is_set(name) ? values_[name].as<std::string>() : std::string();
}

auto settings_reader::name(const std::string& setting) -> std::string
{
    auto value = text(setting);
    if (value.size() > max_name_bytes) {
        reject(setting, value, fmt::format("must have at most {} bytes", max_name_bytes));
    }
    const auto is_allowed = [](char character) {
        return character > ' ' && character <= '~' && character != ';' && character != '=' &&
               character != ',' && character != '"';
    };
    if (!std::ranges::all_of(value, is_allowed)) {
        reject(setting, value, "must be printable ASCII without space ; = , \"");
    }
    return value;
}

auto settings_reader::address(const std::string& name) -> peer_address
{
    return parse_address(name, text(name));
}

auto settings_reader::parse_address(const std::string& name, const std::string& value)
    -> peer_address
{
    const auto address = parse_peer_address(value);
    if (!address || value.size() > max_name_bytes) {
        reject(name, value, "must be an IP address and a port, such as 127.0.0.1:7000");
        return {};
    }
    return *address;
}

auto settings_reader::peers(const std::string& name) -> std::vector<control_peer>
{
    std::vector<control_peer> peers;
    for (const auto& item : split_commas(optional_text(name))) {
        const auto equals = item.find('=');
        if (equals == std::string::npos || equals == 0 || equals > max_name_bytes) {
            reject(name, item, "must be NAME=IP:PORT, separated by commas");
            continue;
        }
        peers.push_back({item.substr(0, equals), parse_address(name, item.substr(equals + 1))});
    }
    return peers;
}

auto settings_reader::addresses(const std::string& name) -> std::vector<peer_address>
{
    std::vector<peer_address> addresses;
    for (const auto& item : split_commas(optional_text(name))) {
        addresses.push_back(parse_address(name, item));
    }
    return addresses;
}

auto settings_reader::number(const std::string& name, unsigned maximum, unsigned minimum)
    -> unsigned
{
    const auto value = text(name);
    const auto* end = value.data() + value.size();
    unsigned number = 0;
    const auto [parsed_end, error_code] = std::from_chars(value.data(), end, number);
    if (error_code != std::errc() || parsed_end != end || number < minimum || number > maximum) {
        reject(name, value, fmt::format("must be an integer from {} to {}", minimum, maximum));
    }
    return number;
}

auto settings_reader::boolean(const std::string& name) -> bool
{
    const auto value = text(name);
    const bool is_yes = value == "yes" || value == "true";
    if (!is_yes && value != "no" && value != "false") {
        reject(name, value, "must be yes or no");
    }
    return is_yes;
}

auto settings_reader::milliseconds(const std::string& name, unsigned maximum)
    -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(number(name, maximum));
}

auto settings_reader::optional_seconds(const std::string& name, double maximum)
    -> std::chrono::milliseconds
{
    if (!is_set(name)) {
        return std::chrono::milliseconds(0);
    }
    const auto value = text(name);
    const auto* end = value.data() + value.size();
    double seconds = 0;
    const auto [parsed_end, error_code] =
        std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    // The comparison also rejects "nan".
    if (error_code != std::errc() || parsed_end != end || !(seconds >= 0 && seconds <= maximum)) {
        reject(name, value, fmt::format("must be a number of seconds from 0 to {}", maximum));
        return std::chrono::milliseconds(0);
    }
    return std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

auto settings_reader::optional_address(const std::string& name) -> std::optional<peer_address>
{
    return is_set(name) ? std::optional(address(name)) : std::nullopt;
}

void settings_reader::reject(std::string_view name, std::string_view value,
                             std::string_view requirement)
{
    if (!first_error_) {
        first_error_ =
            error{error_kind::invalid_input,
                  fmt::format("setting {}: '{}' is not allowed: {}", name, value, requirement)};
    }
}

} // namespace sycamorewinch::internal
