#include "cli/metrics_text.h"

#include <charconv>
#include <optional>

namespace sycamorewinch {

namespace {

/** Parses `name="value"` pairs and the closing brace, and removes them from the front of \p text.
 * Returns nothing when they are malformed. */
auto parse_labels(std::string_view& text) -> std::optional<std::map<std::string, std::string>>
{
    std::map<std::string, std::string> labels;
    while (!text.empty() && text.front() != '}') {
        const auto equals = text.find("=\"");
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string name(text.substr(0, equals));
        text.remove_prefix(equals + 2);
        std::string value;
        while (!text.empty() && text.front() != '"') {
            if (text.front() == '\\' && text.size() > 1) {
                text.remove_prefix(1);
            }
            value.push_back(text.front());
            text.remove_prefix(1);
        }
        if (text.empty()) {
            return std::nullopt;
        }
        text.remove_prefix(text.size() > 1 && text[1] == ',' ? 2 : 1);
        labels[name] = value;
    }
    if (text.empty()) {
        return std::nullopt;
    }
    text.remove_prefix(1);
    return labels;
}

/** Parses the part of a sample line after the metric's name: labels, if any, and the value. */
auto parse_sample(std::string_view rest) -> std::optional<metric_sample>
{
    metric_sample sample;
    if (rest.starts_with('{')) {
        rest.remove_prefix(1);
        auto labels = parse_labels(rest);
        if (!labels) {
            return std::nullopt;
        }
        sample.labels_ = std::move(*labels);
    }
    if (!rest.starts_with(' ')) {
        return std::nullopt;
    }
    rest.remove_prefix(1);
    const auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), sample.value_);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return sample;
}

} // namespace

auto parse_samples(std::string_view text, std::string_view name) -> std::vector<metric_sample>
{
    std::vector<metric_sample> samples;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (!line.starts_with(name)) {
            continue;
        }
        if (auto sample = parse_sample(line.substr(name.size()))) {
            samples.push_back(std::move(*sample));
        }
    }
    return samples;
}

} // namespace sycamorewinch
