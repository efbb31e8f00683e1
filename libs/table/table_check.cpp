#include "table/table_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <fmt/core.h>

#include "base/field_limits.h"

namespace sycamorewinch {

namespace {

constexpr std::uint32_t max_weight = 1'000'000;
constexpr std::uint32_t max_rate = 10'000'000;
constexpr std::uint32_t max_retries = 10;
constexpr std::chrono::milliseconds max_timeout{600'000};

constexpr std::size_t max_findings = 256;
constexpr std::uint64_t thousandths = 1'000; ///< Per unit.

auto is_printable_ascii(char character) -> bool
{
    return character >= ' ' && character <= '~';
}

/** Returns whether \p character separates the items of a list in a cell. */
auto is_list_separator(char character) -> bool
{
    return character == ';' || character == '=' || character == ',' || character == '"';
}

/** Returns whether \p character may stand in the path of a call. */
auto is_path_character(char character) -> bool
{
    return character > ' ' && character <= '~' && character != '?' && character != '#' &&
           character != '"';
}

/** Returns whether \p character may stand in a host. */
auto is_host_character(char character) -> bool
{
    return character > ' ' && character <= '~' && character != '/' && character != ',' &&
           character != ';' && character != '"';
}

/** Returns the start of \p text with every character outside printable ASCII replaced by '?'. */
auto printable(std::string_view text) -> std::string
{
    std::string shown(text.substr(0, max_name_bytes));
    std::ranges::replace_if(
        shown, [](char character) { return !is_printable_ascii(character); }, '?');
    return shown;
}

/** Returns the problem of a service, target, zone or caller name; empty if it is valid. */
auto name_problem(std::string_view name) -> std::string_view
{
    if (name.empty()) {
        return "is empty; a name is required";
    }
    if (name.size() > max_name_bytes) {
        return "is longer than 64 bytes";
    }
    if (!std::ranges::all_of(name, is_printable_ascii)) {
        return "contains a control character or a non-ASCII character";
    }
    if (name.front() == ' ' || name.back() == ' ') {
        return "starts or ends with a space";
    }
    if (std::ranges::any_of(name, is_list_separator)) {
        return "contains one of ; = , \" which separate list items";
    }
    return {};
}

/** Returns the problem of an organisation's name, which is the value of a header field; empty if it
 * is valid. */
auto organisation_name_problem(std::string_view name) -> std::string_view
{
    if (name.empty()) {
        return "is empty; a name is required";
    }
    if (name.size() > max_name_bytes) {
        return "is longer than 64 bytes";
    }
    const auto is_control = [](char character) {
        return static_cast<unsigned char>(character) < ' ' || character == '\x7f';
    };
    if (std::ranges::any_of(name, is_control)) {
        return "contains a control character";
    }
    return name.front() == ' ' || name.back() == ' '
               ? std::string_view("starts or ends with a space")
               : std::string_view();
}

auto has_dot_segment(std::string_view path) -> bool
{
    while (!path.empty()) {
        const auto end = path.find('/');
        const auto segment = path.substr(0, end);
        if (segment == "." || segment == "..") {
            return true;
        }
        path = end == std::string_view::npos ? std::string_view() : path.substr(end + 1);
    }
    return false;
}

/** Returns the problem of a path prefix; empty if it is valid. */
auto path_problem(std::string_view path) -> std::string_view
{
    if (!path.starts_with('/')) {
        return "is not a path prefix: it must start with '/'";
    }
    if (path.size() > max_path_bytes) {
        return "is longer than 256 bytes";
    }
    if (!std::ranges::all_of(path, is_path_character)) {
        return "contains a space, '?', '#', a quote, a control character or a non-ASCII character";
    }
    if (path.size() > 1 && path.ends_with('/')) {
        return "ends with '/'; remove it";
    }
    if (path.find("//") != std::string_view::npos || has_dot_segment(path)) {
        return "contains '//' or a segment '.' or '..', which the path of a call never has";
    }
    return {};
}

/** Returns the problem of a host; empty if it is valid. */
auto host_problem(std::string_view host) -> std::string_view
{
    if (host.size() > max_path_bytes) {
        return "is longer than 256 bytes";
    }
    if (!std::ranges::all_of(host, is_host_character)) {
        return "contains a space, '/', ',', ';', a quote, a control character or a non-ASCII "
               "character";
    }
    return {};
}

/** Rows by the name of their service. */
using rows_by_service = std::unordered_map<std::string_view, const row*>;

/** The host and the path prefix of a row. */
struct row_location {
    std::string_view host_;
    std::string_view path_prefix_;

    [[nodiscard]] auto operator==(const row_location&) const -> bool = default;
};

struct row_location_hash {
    auto operator()(const row_location& location) const -> std::size_t
    {
        constexpr std::size_t multiplier = 31;
        const std::hash<std::string_view> hash;
        return hash(location.host_) * multiplier + hash(location.path_prefix_);
    }
};

/** Checks one table and collects the findings. Replicas check every table of a log that they apply,
 * so the names of the rows are not copied. */
class table_checker {
  public:
    explicit table_checker(const std::vector<row>& rows) : rows_(rows)
    {
        services_.reserve(rows.size());
        locations_.reserve(rows.size());
    }

    auto run() -> std::vector<table_finding>
    {
        if (rows_.size() > max_table_rows) {
            add_finding("", table_column::service,
                        fmt::format("a table may have at most {} rows", max_table_rows));
        }
        for (const auto& row : rows_) {
            check_names(row);
            check_weights(row);
            check_split(row);
            check_limits(row);
            check_timing(row);
        }
        check_dependencies();
        return std::move(findings_);
    }

  private:
    void add_finding(const std::string& service, table_column column, std::string message)
    {
        if (findings_.size() < max_findings) {
            findings_.push_back({service, column, std::move(message)});
        }
    }

    void check_name(const row& value, table_column column, std::string_view name)
    {
        if (const auto problem = name_problem(name); !problem.empty()) {
            add_finding(value.service_, column, fmt::format("'{}' {}", printable(name), problem));
        }
    }

    void check_names(const row& value)
    {
        check_name(value, table_column::service, value.service_);
        if (!services_.insert(value.service_).second) {
            add_finding(value.service_, table_column::service,
                        "the service has two rows; keep one");
        }
        if (const auto problem = path_problem(value.path_prefix_); !problem.empty()) {
            add_finding(value.service_, table_column::path_prefix,
                        fmt::format("'{}' {}", printable(value.path_prefix_), problem));
        }
        if (const auto problem = host_problem(value.host_); !problem.empty()) {
            add_finding(value.service_, table_column::host,
                        fmt::format("'{}' {}", printable(value.host_), problem));
        }
        if (!locations_.insert({value.host_, value.path_prefix_}).second) {
            add_finding(value.service_, table_column::path_prefix,
                        "another service has the same host and path prefix");
        }
    }

    void check_weights(const row& value)
    {
        std::uint64_t sum = 0;
        std::set<std::pair<weight_scope, std::string_view>> names;
        for (const auto& weight : value.weights_) {
            check_name(value, table_column::weights, weight.name_);
            sum += weight.weight_;
            if (weight.weight_ > max_weight) {
                add_finding(value.service_, table_column::weights,
                            fmt::format("a weight may be at most {}", max_weight));
            }
            if (!names.emplace(weight.scope_, weight.name_).second) {
                add_finding(value.service_, table_column::weights,
                            fmt::format("'{}' is listed twice", printable(weight.name_)));
            }
        }
        if (!value.weights_.empty() && sum == 0) {
            add_finding(value.service_, table_column::weights, "the weights sum to zero");
        }
    }

    void check_split(const row& value)
    {
        if (value.split_.empty()) {
            return;
        }
        if (!value.weights_.empty()) {
            add_finding(value.service_, table_column::split,
                        "a row with a split may not have weights of targets or zones");
        }
        std::uint64_t sum = 0;
        std::set<std::string_view> names;
        for (const auto& share : value.split_) {
            check_name(value, table_column::split, share.service_);
            sum += share.weight_;
            if (share.weight_ > max_weight) {
                add_finding(value.service_, table_column::split,
                            fmt::format("a weight may be at most {}", max_weight));
            }
            if (!names.insert(share.service_).second) {
                add_finding(value.service_, table_column::split,
                            fmt::format("'{}' is listed twice", printable(share.service_)));
            }
        }
        if (sum == 0) {
            add_finding(value.service_, table_column::split, "the weights sum to zero");
        }
    }

    void check_limit(const row& value, const caller_limit& limit, table_column column)
    {
        if (limit.requests_per_second_ > max_rate || limit.burst_ > max_rate ||
            limit.concurrency_ > max_rate) {
            add_finding(value.service_, column, fmt::format("a limit may be at most {}", max_rate));
        }
        if (limit.requests_per_second_ > 0 && limit.burst_ == 0) {
            add_finding(value.service_, column == table_column::rate ? table_column::burst : column,
                        "a rate needs a burst of at least 1, otherwise no request is admitted");
        }
    }

    void check_limits(const row& value)
    {
        check_limit(value, value.default_limit_, table_column::rate);
        std::set<std::string_view> callers;
        for (const auto& named : value.named_limits_) {
            check_name(value, table_column::callers, named.caller_);
            check_limit(value, named.limit_, table_column::callers);
            if (!callers.insert(named.caller_).second) {
                add_finding(value.service_, table_column::callers,
                            fmt::format("caller '{}' is listed twice", printable(named.caller_)));
            }
        }
    }

    void check_timing(const row& value)
    {
        if (value.timeout_ <= std::chrono::milliseconds(0) || value.timeout_ > max_timeout) {
            add_finding(value.service_, table_column::timeout_ms,
                        fmt::format("a timeout must be from 1 to {} ms", max_timeout.count()));
        }
        if (value.retries_ > max_retries) {
            add_finding(value.service_, table_column::retries,
                        fmt::format("at most {} retries are allowed", max_retries));
        }
    }

    void check_dependencies()
    {
        if (std::ranges::all_of(rows_, [](const row& row) { return row.depends_on_.empty(); })) {
            return;
        }
        rows_by_service by_service;
        for (const auto& row : rows_) {
            by_service[row.service_] = &row;
        }
        for (const auto& row : rows_) {
            std::set<std::string_view> dependencies;
            for (const auto& dependency : row.depends_on_) {
                if (!by_service.contains(dependency)) {
                    add_finding(
                        row.service_, table_column::depends_on,
                        fmt::format("'{}' is no service of this table", printable(dependency)));
                }
                if (!dependencies.insert(dependency).second) {
                    add_finding(row.service_, table_column::depends_on,
                                fmt::format("'{}' is listed twice", printable(dependency)));
                }
            }
        }
        find_cycles(by_service);
    }

    enum class visit_state : std::uint8_t { unvisited, in_progress, done };
    using visit_states_by_service = std::unordered_map<std::string_view, visit_state>;

    /** A row on the search path, and the index of its next dependency to visit. */
    struct search_frame {
        const row* row_ = nullptr;
        std::size_t next_dependency_ = 0;
    };

    // Depth-first search: reaching a service that is still in progress means a cycle. The path is
    // kept in a vector and not on the call stack, as a dependency chain may be as long as the
    // table.
    void find_cycles(const rows_by_service& by_service)
    {
        visit_states_by_service visit_states;
        for (const auto& row : rows_) {
            if (visit_states[row.service_] == visit_state::unvisited) {
                search_from(row, by_service, visit_states);
            }
        }
    }

    void search_from(const row& start, const rows_by_service& by_service,
                     visit_states_by_service& visit_states)
    {
        std::vector<search_frame> path{{&start}};
        visit_states[start.service_] = visit_state::in_progress;
        while (!path.empty()) {
            auto& frame = path.back();
            const auto& value = *frame.row_;
            if (frame.next_dependency_ == value.depends_on_.size()) {
                visit_states[value.service_] = visit_state::done;
                path.pop_back();
                continue;
            }
            const auto& dependency = value.depends_on_[frame.next_dependency_++];
            const auto next = by_service.find(dependency);
            if (next == by_service.end() || visit_states[dependency] == visit_state::done) {
                continue;
            }
            if (visit_states[dependency] == visit_state::in_progress) {
                add_finding(value.service_, table_column::depends_on,
                            fmt::format("depending on '{}' closes a cycle", printable(dependency)));
                continue;
            }
            visit_states[dependency] = visit_state::in_progress;
            path.push_back({next->second});
        }
    }

    const std::vector<row>& rows_;
    std::vector<table_finding> findings_;
    std::unordered_set<std::string_view> services_;
    std::unordered_set<row_location, row_location_hash> locations_;
};

} // namespace

auto check_table(const std::vector<row>& rows) -> std::vector<table_finding>
{
    return table_checker(rows).run();
}

auto api_key_problem(std::string_view api_key) -> std::string_view
{
    if (api_key.empty()) {
        return "is empty";
    }
    if (api_key.size() > max_api_key_bytes) {
        return "is longer than 256 bytes";
    }
    const auto is_visible = [](char character) {
        return character != ' ' && is_printable_ascii(character);
    };
    return std::ranges::all_of(api_key, is_visible)
               ? std::string_view()
               : "contains white space, a control character or a non-ASCII character";
}

auto check_organisations(const std::vector<organisation>& organisations)
    -> std::optional<std::string>
{
    if (organisations.size() > max_organisations) {
        return fmt::format("a table may have at most {} organisations", max_organisations);
    }
    std::set<std::string_view> names;
    std::map<digest, const organisation*> owners;
    for (const auto& each : organisations) {
        const auto name = printable(each.name_);
        if (const auto problem = organisation_name_problem(each.name_); !problem.empty()) {
            return fmt::format("organisation '{}': its name {}", name, problem);
        }
        if (!names.insert(each.name_).second) {
            return fmt::format("organisation '{}' is listed twice", name);
        }
        if (each.keys_.size() > max_api_keys) {
            return fmt::format("organisation '{}': more than {} API keys", name, max_api_keys);
        }
        if (each.rate_thousandths_ > max_rate * thousandths || each.burst_ > max_rate) {
            return fmt::format("organisation '{}': rate and burst may be at most {}", name,
                               max_rate);
        }
        for (const auto& key : each.keys_) {
            const auto [owner, is_new] = owners.emplace(key, &each);
            if (!is_new && owner->second != &each) {
                return fmt::format("organisations '{}' and '{}' have an API key in common",
                                   printable(owner->second->name_), name);
            }
        }
    }
    return std::nullopt;
}

} // namespace sycamorewinch
