#include "table/table_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <fmt/core.h>

#include "table/row_codec.h"

namespace sycamorewinch {

namespace {

constexpr std::uint32_t max_weight = 1'000'000;
constexpr std::uint32_t max_rate = 10'000'000;
constexpr std::uint32_t max_retries = 10;
constexpr std::chrono::milliseconds max_timeout{600'000};

constexpr std::size_t max_findings = 256;

auto is_printable_ascii(char letter) -> bool
{
    return letter >= ' ' && letter <= '~';
}

/** Returns \p text with what cannot be shown on one line as '?'. */
auto printable(std::string_view text) -> std::string
{
    std::string shown(text.substr(0, max_name_bytes));
    std::ranges::replace_if(
        shown, [](char letter) { return !is_printable_ascii(letter); }, '?');
    return shown;
}

/** Returns what is wrong with the name of a service, target, zone or caller; empty: nothing. */
auto name_problem(std::string_view name) -> std::string_view
{
    if (name.empty()) {
        return "is empty; a name is needed";
    }
    if (name.size() > max_name_bytes) {
        return "is longer than 64 bytes";
    }
    if (!std::ranges::all_of(name, is_printable_ascii)) {
        return "holds a control character or a letter outside ASCII";
    }
    if (name.front() == ' ' || name.back() == ' ') {
        return "starts or ends with a space";
    }
    if (name.find_first_of(";=,\"") != std::string_view::npos) {
        return "holds one of ; = , \" that separate the items of a list";
    }
    return {};
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

/** Returns what is wrong with a path prefix; empty: nothing. */
auto path_problem(std::string_view path) -> std::string_view
{
    if (!path.starts_with('/')) {
        return "is no path prefix: one starts with '/'";
    }
    if (path.size() > max_path_bytes) {
        return "is longer than 256 bytes";
    }
    if (!std::ranges::all_of(path, is_printable_ascii) ||
        path.find_first_of(" ?#\"") != std::string_view::npos) {
        return "holds a space, '?', '#', a quote, a control character or a letter outside ASCII";
    }
    if (path.size() > 1 && path.ends_with('/')) {
        return "ends with '/'; leave that out";
    }
    if (path.find("//") != std::string_view::npos || has_dot_segment(path)) {
        return "holds '//', '.' or '..', which no call's path has";
    }
    return {};
}

/** Returns what is wrong with a host; empty: nothing. */
auto host_problem(std::string_view host) -> std::string_view
{
    if (host.size() > max_path_bytes) {
        return "is longer than 256 bytes";
    }
    if (!std::ranges::all_of(host, is_printable_ascii) ||
        host.find_first_of(" /,;\"") != std::string_view::npos) {
        return "holds a space, '/', ',', ';', a quote, a control character or a letter outside "
               "ASCII";
    }
    return {};
}

/** Walks one table and notes what is wrong. */
class checker {
  public:
    explicit checker(const std::vector<row>& rows) : rows_(rows) {}

    auto run() -> std::vector<table_finding>
    {
        if (rows_.size() > max_table_rows) {
            note("", table_column::service,
                 fmt::format("a table may have {} rows at most", max_table_rows));
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
    void note(const std::string& service, table_column column, std::string message)
    {
        if (findings_.size() < max_findings) {
            findings_.push_back({service, column, std::move(message)});
        }
    }

    void check_name(const row& value, table_column column, std::string_view name)
    {
        if (const auto problem = name_problem(name); !problem.empty()) {
            note(value.service_, column, fmt::format("'{}' {}", printable(name), problem));
        }
    }

    void check_names(const row& value)
    {
        check_name(value, table_column::service, value.service_);
        if (!services_.insert(value.service_).second) {
            note(value.service_, table_column::service, "the service has two rows; keep one");
        }
        if (const auto problem = path_problem(value.path_prefix_); !problem.empty()) {
            note(value.service_, table_column::path_prefix,
                 fmt::format("'{}' {}", printable(value.path_prefix_), problem));
        }
        if (const auto problem = host_problem(value.host_); !problem.empty()) {
            note(value.service_, table_column::host,
                 fmt::format("'{}' {}", printable(value.host_), problem));
        }
        if (!places_.emplace(value.host_, value.path_prefix_).second) {
            note(value.service_, table_column::path_prefix,
                 "another service has this host and path prefix");
        }
    }

    void check_weights(const row& value)
    {
        std::uint64_t sum = 0;
        std::set<std::pair<weight_scope, std::string>> names;
        for (const auto& weight : value.weights_) {
            check_name(value, table_column::weights, weight.name_);
            sum += weight.weight_;
            if (weight.weight_ > max_weight) {
                note(value.service_, table_column::weights,
                     fmt::format("a weight is {} at most", max_weight));
            }
            if (!names.emplace(weight.scope_, weight.name_).second) {
                note(value.service_, table_column::weights,
                     fmt::format("'{}' stands twice", printable(weight.name_)));
            }
        }
        if (!value.weights_.empty() && sum == 0) {
            note(value.service_, table_column::weights, "the weights sum to nothing");
        }
    }

    void check_split(const row& value)
    {
        if (value.split_.empty()) {
            return;
        }
        if (!value.weights_.empty()) {
            note(value.service_, table_column::split,
                 "a row with a split has no weights of targets or zones");
        }
        std::uint64_t sum = 0;
        std::set<std::string> names;
        for (const auto& share : value.split_) {
            check_name(value, table_column::split, share.service_);
            sum += share.weight_;
            if (share.weight_ > max_weight) {
                note(value.service_, table_column::split,
                     fmt::format("a weight is {} at most", max_weight));
            }
            if (!names.insert(share.service_).second) {
                note(value.service_, table_column::split,
                     fmt::format("'{}' stands twice", printable(share.service_)));
            }
        }
        if (sum == 0) {
            note(value.service_, table_column::split, "the weights sum to nothing");
        }
    }

    void check_limit(const row& value, const caller_limit& limit, table_column column)
    {
        if (limit.requests_per_second_ > max_rate || limit.burst_ > max_rate ||
            limit.concurrency_ > max_rate) {
            note(value.service_, column, fmt::format("a limit is {} at most", max_rate));
        }
        if (limit.requests_per_second_ > 0 && limit.burst_ == 0) {
            note(value.service_, column == table_column::rate ? table_column::burst : column,
                 "a rate needs a burst of 1 or more, or nothing is ever admitted");
        }
    }

    void check_limits(const row& value)
    {
        check_limit(value, value.default_limit_, table_column::rate);
        std::set<std::string> callers;
        for (const auto& named : value.named_limits_) {
            check_name(value, table_column::callers, named.caller_);
            check_limit(value, named.limit_, table_column::callers);
            if (!callers.insert(named.caller_).second) {
                note(value.service_, table_column::callers,
                     fmt::format("caller '{}' stands twice", printable(named.caller_)));
            }
        }
    }

    void check_timing(const row& value)
    {
        if (value.timeout_ <= std::chrono::milliseconds(0) || value.timeout_ > max_timeout) {
            note(value.service_, table_column::timeout_ms,
                 fmt::format("a timeout is from 1 to {} ms", max_timeout.count()));
        }
        if (value.retries_ > max_retries) {
            note(value.service_, table_column::retries,
                 fmt::format("{} retries at most", max_retries));
        }
    }

    void check_dependencies()
    {
        std::map<std::string, const row*> by_service;
        for (const auto& row : rows_) {
            by_service[row.service_] = &row;
        }
        for (const auto& row : rows_) {
            std::set<std::string> seen;
            for (const auto& needed : row.depends_on_) {
                if (!by_service.contains(needed)) {
                    note(row.service_, table_column::depends_on,
                         fmt::format("'{}' is no service of this table", printable(needed)));
                }
                if (!seen.insert(needed).second) {
                    note(row.service_, table_column::depends_on,
                         fmt::format("'{}' stands twice", printable(needed)));
                }
            }
        }
        find_cycles(by_service);
    }

    enum class mark : std::uint8_t { unseen, open, done };

    /** A row on the path of the search, and how many of its dependencies are looked at. */
    struct step {
        const row* row_ = nullptr;
        std::size_t next_ = 0;
    };

    // Depth-first search: a service met again while it is still open closes a cycle. The path is
    // kept here and not on the call stack, since a table's chain may be as long as the table.
    void find_cycles(const std::map<std::string, const row*>& by_service)
    {
        std::map<std::string, mark> marks;
        for (const auto& row : rows_) {
            if (marks[row.service_] == mark::unseen) {
                search_from(row, by_service, marks);
            }
        }
    }

    void search_from(const row& start, const std::map<std::string, const row*>& by_service,
                     std::map<std::string, mark>& marks)
    {
        std::vector<step> path{{&start}};
        marks[start.service_] = mark::open;
        while (!path.empty()) {
            auto& here = path.back();
            const auto& value = *here.row_;
            if (here.next_ == value.depends_on_.size()) {
                marks[value.service_] = mark::done;
                path.pop_back();
                continue;
            }
            const auto& needed = value.depends_on_[here.next_++];
            const auto next = by_service.find(needed);
            if (next == by_service.end() || marks[needed] == mark::done) {
                continue;
            }
            if (marks[needed] == mark::open) {
                note(value.service_, table_column::depends_on,
                     fmt::format("depending on '{}' closes a cycle", printable(needed)));
                continue;
            }
            marks[needed] = mark::open;
            path.push_back({next->second});
        }
    }

    const std::vector<row>& rows_;
    std::vector<table_finding> findings_;
    std::set<std::string> services_;
    std::set<std::pair<std::string, std::string>> places_; ///< Host and path prefix.
};

} // namespace

auto check_table(const std::vector<row>& rows) -> std::vector<table_finding>
{
    return checker(rows).run();
}

} // namespace sycamorewinch
