#include "table/table_check.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <fmt/core.h>

#include "table/row_codec.h"

namespace sycamorewinch {

namespace {

constexpr std::uint32_t max_weight = 1'000'000;
constexpr std::uint32_t max_rate = 10'000'000;
constexpr std::uint32_t max_retries = 10;
constexpr std::chrono::milliseconds max_timeout{600'000};

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
            check_limits(row);
            check_timing(row);
        }
        check_dependencies();
        return std::move(findings_);
    }

  private:
    void note(const std::string& service, table_column column, std::string message)
    {
        findings_.push_back({service, column, std::move(message)});
    }

    void check_names(const row& value)
    {
        if (value.service_.empty()) {
            note(value.service_, table_column::service, "a service needs a name");
        }
        if (!services_.insert(value.service_).second) {
            note(value.service_, table_column::service, "the service has two rows; keep one");
        }
        if (!value.path_prefix_.starts_with('/')) {
            note(value.service_, table_column::path_prefix, "a path prefix starts with '/'");
        }
        if (!prefixes_.insert(value.path_prefix_).second) {
            note(value.service_, table_column::path_prefix, "another service has this path prefix");
        }
    }

    void check_weights(const row& value)
    {
        std::uint64_t sum = 0;
        std::set<std::string> names;
        for (const auto& weight : value.weights_) {
            sum += weight.weight_;
            if (weight.weight_ > max_weight) {
                note(value.service_, table_column::weights,
                     fmt::format("a weight is {} at most", max_weight));
            }
            if (weight.name_.empty() || !names.insert(weight.name_).second) {
                note(value.service_, table_column::weights,
                     fmt::format("'{}' is empty or stands twice", weight.name_));
            }
        }
        if (!value.weights_.empty() && sum == 0) {
            note(value.service_, table_column::weights, "the weights sum to nothing");
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
            check_limit(value, named.limit_, table_column::callers);
            if (!callers.insert(named.caller_).second) {
                note(value.service_, table_column::callers,
                     fmt::format("caller '{}' stands twice", named.caller_));
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
            for (const auto& needed : row.depends_on_) {
                if (!by_service.contains(needed)) {
                    note(row.service_, table_column::depends_on,
                         fmt::format("'{}' is no service of this table", needed));
                }
            }
        }
        find_cycles(by_service);
    }

    // Depth-first search: a service met again while it is still being visited closes a cycle.
    void find_cycles(const std::map<std::string, const row*>& by_service)
    {
        enum class mark : std::uint8_t { unseen, open, done };
        std::map<std::string, mark> marks;
        const std::function<void(const row&)> visit = [&](const row& value) {
            marks[value.service_] = mark::open;
            for (const auto& needed : value.depends_on_) {
                const auto next = by_service.find(needed);
                if (next == by_service.end()) {
                    continue;
                }
                if (marks[needed] == mark::open) {
                    note(value.service_, table_column::depends_on,
                         fmt::format("depending on '{}' closes a cycle", needed));
                }
                else if (marks[needed] == mark::unseen) {
                    visit(*next->second);
                }
            }
            marks[value.service_] = mark::done;
        };
        for (const auto& row : rows_) {
            if (marks[row.service_] == mark::unseen) {
                visit(row);
            }
        }
    }

    const std::vector<row>& rows_;
    std::vector<table_finding> findings_;
    std::set<std::string> services_;
    std::set<std::string> prefixes_;
};

} // namespace

auto check_table(const std::vector<row>& rows) -> std::vector<table_finding>
{
    return checker(rows).run();
}

} // namespace sycamorewinch
