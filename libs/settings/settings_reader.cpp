#include "settings/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <fmt/format.h>

#include "base/split.h"

namespace sycamorewinch::internal {

namespace {

constexpr std::size_t max_name_length = 64;

} // namespace

auto settings_reader::has(const std::string& name) const -> bool
{
    return values_.count(name) > 0 && !values_[name].as<std::string>().empty();
}

auto settings_reader::text(const std::string& name) -> std::string
{
    if (!has(name)) {
        refuse(name, "", "it must be given");
        return {};
    }
    return values_[name].as<std::string>();
}

auto settings_reader::optional_text(const std::string& name) -> std::string
{
    return has(name) ? values_[name].as<std::string>() : std::string();
}

auto settings_reader::name(const std::string& setting) -> std::string
{
    auto value = text(setting);
    if (value.size() > max_name_length) {
        refuse(setting, value, fmt::format("a name has {} bytes at most", max_name_length));
    }
    const auto fits = [](char letter) {
        return letter > ' ' && letter <= '~' && letter != ';' && letter != '=' && letter != ',' &&
               letter != '"';
    };
    if (!std::ranges::all_of(value, fits)) {
        refuse(setting, value, "ASCII letters, digits and signs other than ; = , \"");
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
    if (!address) {
        refuse(name, value, "an IP number and a port, such as 127.0.0.1:7000");
        return {};
    }
    return *address;
}

auto settings_reader::peers(const std::string& name) -> std::vector<control_peer>
{
    std::vector<control_peer> peers;
    for (const auto& part : split_commas(optional_text(name))) {
        const auto equals = part.find('=');
        if (equals == std::string::npos || equals == 0 || equals > max_name_length) {
            refuse(name, part, "NAME=IP:PORT, separated by commas");
            continue;
        }
        peers.push_back({part.substr(0, equals), parse_address(name, part.substr(equals + 1))});
    }
    return peers;
}

auto settings_reader::addresses(const std::string& name) -> std::vector<peer_address>
{
    std::vector<peer_address> found;
    for (const auto& part : split_commas(optional_text(name))) {
        found.push_back(parse_address(name, part));
    }
    return found;
}

auto settings_reader::count(const std::string& name, unsigned largest, unsigned least) -> unsigned
{
    const auto value = text(name);
    const auto* end = value.data() + value.size();
    unsigned count = 0;
    const auto [stop, problem] = std::from_chars(value.data(), end, count);
    if (problem != std::errc() || stop != end || count < least || count > largest) {
        refuse(name, value, fmt::format("a number from {} to {}", least, largest));
    }
    return count;
}

auto settings_reader::yes_no(const std::string& name) -> bool
{
    const auto value = text(name);
    const bool is_yes = value == "yes" || value == "true";
    if (!is_yes && value != "no" && value != "false") {
        refuse(name, value, "yes or no");
    }
    return is_yes;
}

auto settings_reader::milliseconds(const std::string& name, unsigned largest)
    -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(count(name, largest));
}

auto settings_reader::optional_address(const std::string& name) -> std::optional<peer_address>
{
    return has(name) ? std::optional(address(name)) : std::nullopt;
}

void settings_reader::refuse(std::string_view name, std::string_view value,
                             std::string_view allowed)
{
    if (!problem_) {
        problem_ = error{error_kind::invalid_input,
                         fmt::format("setting {}: '{}' is not allowed: {}", name, value, allowed)};
    }
}

} // namespace sycamorewinch::internal
