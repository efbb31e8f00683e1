#include "standin/odd_json.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>
#include <vector>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

/** A part of a text. */
struct span {
    std::size_t start_ = 0;
    std::size_t length_ = 0;
};

auto nested(std::size_t depth, std::string_view open, std::string_view close) -> std::string
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level) {
        text += open;
    }
    text += "0";
    for (std::size_t level = 0; level < depth; ++level) {
        text += close;
    }
    return text;
}

auto odd_value(const random_hook& random) -> std::string
{
    static constexpr std::array<std::string_view, 52> values{"-1",
                                                             "0",
                                                             "-0",
                                                             "1.5",
                                                             "1e3",
                                                             "1e400",
                                                             "-1e400",
                                                             "1e-400",
                                                             "65535",
                                                             "65536",
                                                             "4294967295",
                                                             "4294967296",
                                                             "9007199254740992",
                                                             "9007199254740993",
                                                             "9223372036854775807",
                                                             "9223372036854775808",
                                                             "18446744073709551615",
                                                             "18446744073709551616",
                                                             "123456789012345678901234567890",
                                                             "NaN",
                                                             "nan",
                                                             "Infinity",
                                                             "-Infinity",
                                                             "0x10",
                                                             "true",
                                                             "false",
                                                             "null",
                                                             "{}",
                                                             "[]",
                                                             "[null]",
                                                             "\"\"",
                                                             "\"NaN\"",
                                                             "\"1e400\"",
                                                             "\" \"",
                                                             "\"\\u0000\"",
                                                             "\"a\\u0000b\"",
                                                             "\"\\ud800\"",
                                                             "\"\\udc00\\ud800\"",
                                                             "\"\\ud83d\\ude00\"",
                                                             "\"\\u\"",
                                                             "\"\xc3\"",
                                                             "\"\xff\xfe\"",
                                                             "\"\xed\xa0\x80\"",
                                                             "\"\xf4\x90\x80\x80\"",
                                                             "\"127.0.0.1:0\"",
                                                             "\"127.0.0.1:65536\"",
                                                             "\"127.0.0.1:-1\"",
                                                             "\"127.0.0.1:99999999999999999999\"",
                                                             "\"[::1:8080\"",
                                                             "\"[fe80::1%eth0]:8080\"",
                                                             "\"ready \"",
                                                             "\"/a//../b/\""};
    constexpr std::array<std::size_t, 4> depths{100, 1'023, 1'025, 100'000};
    constexpr std::array<std::size_t, 5> lengths{64, 65, 257, 5'000, 70'000};
    const auto depth = depths.at(uniform_below(random, depths.size()));
    const auto length = lengths.at(uniform_below(random, lengths.size()));
    switch (uniform_below(random, 8)) {
    case 0:
        return nested(depth, "[", "]");
    case 1:
        return nested(depth, "{\"a\":", "}");
    case 2:
        return fmt::format("\"{}\"", std::string(length, 'n'));
    case 3:
        return std::string(length, '9');
    default:
        return std::string(values.at(uniform_below(random, values.size())));
    }
}

/** Returns where the numbers, strings and words of \p text are. */
auto find_values(const std::string& text) -> std::vector<span>
{
    std::vector<span> values;
    std::size_t at = 0;
    while (at < text.size()) {
        if (text[at] == '"') {
            const auto end = text.find('"', at + 1);
            if (end == std::string::npos) {
                break;
            }
            values.push_back({at, end + 1 - at});
            at = end + 1;
        }
        else if (text.find_first_of(" {}[],:\r\n", at) == at) {
            ++at;
        }
        else {
            const auto end = std::min(text.find_first_of(",]}", at), text.size());
            values.push_back({at, end - at});
            at = end;
        }
    }
    return values;
}

void replace_value(std::string& text, const random_hook& random)
{
    const auto values = find_values(text);
    if (!values.empty()) {
        const auto& value = values[uniform_below(random, values.size())];
        text.replace(value.start_, value.length_, odd_value(random));
    }
}

/** Removes or repeats the text between two commas. */
void change_members(std::string& text, const random_hook& random)
{
    const auto start = text.find(',', uniform_below(random, text.size() + 1));
    const auto end = start == std::string::npos ? start : text.find(',', start + 1);
    if (end == std::string::npos) {
        return;
    }
    const auto member = text.substr(start, end - start);
    if (uniform_below(random, 2) == 0) {
        text.erase(start, end - start);
    }
    else {
        text.insert(start, member);
    }
}

void change_bytes(std::string& text, const random_hook& random)
{
    const auto at = uniform_below(random, text.size() + 1);
    switch (uniform_below(random, 3)) {
    case 0:
        text.resize(at);
        return;
    case 1:
        text.insert(at, 1, static_cast<char>(random()));
        return;
    default:
        text += odd_value(random);
    }
}

auto number_from_environment(const char* name, std::uint64_t default_value) -> std::uint64_t
{
    const auto* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

} // namespace

auto odd_text_count() -> std::uint64_t
{
    constexpr std::uint64_t default_count = 2'000;
    return number_from_environment("SYCAMOREWINCH_ODD_TEXTS", default_count);
}

auto odd_text_random() -> random_hook
{
    constexpr std::uint64_t default_seed = 43;
    return seeded_random(number_from_environment("SYCAMOREWINCH_SEED", default_seed));
}

auto damage_json(const std::string& text, const random_hook& random) -> std::string
{
    constexpr std::size_t max_bytes = 1'000'000;
    auto damaged = text;
    for (auto left = 1 + uniform_below(random, 3); left > 0 && damaged.size() < max_bytes; --left) {
        const auto choice = uniform_below(random, 10);
        if (choice < 7) {
            replace_value(damaged, random);
        }
        else if (choice < 9) {
            change_members(damaged, random);
        }
        else {
            change_bytes(damaged, random);
        }
    }
    return damaged;
}

} // namespace sycamorewinch
