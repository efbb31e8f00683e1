#include "rollout/rollout_judge.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

/** The odds ratios of the alternatives for failures; each has the same prior weight. */
constexpr std::array odds_ratios{2.0, 8.0, 64.0};
/** The alternatives to a limit of a proportion: how far the proportion is from it towards 1. */
constexpr std::array alternatives_to_limit{0.2, 0.4, 0.7};
/** Added to the old version's failures and responses, so that few responses without a failure do
 * not count as a proof that it never fails. */
constexpr double added_old_failures = 2;
constexpr double added_old_responses = 4;
/** A comparison starts at every n-th period, so that a version that turns bad later is not excused
 * by its earlier responses. */
constexpr std::size_t periods_between_starts = 4;
/** Kinds of event that are compared. */
constexpr double event_kinds = 2;
/** The comparison of all periods gets half of the false alarms, the others share the other half. */
constexpr double weight_of_all_periods = 0.5;
/** Starts whose evidence is recent. */
constexpr std::size_t recent_starts = 3;
/** Responses of the old version without which its proportions are not known. */
constexpr double needed_old_responses = 20;
constexpr double max_proportion = 0.95;
constexpr double max_logarithm = 300; ///< Keeps sums of likelihood ratios finite.

auto proportion(double events, double responses) -> double
{
    return responses > 0 ? events / responses : 0;
}

template <std::size_t count>
auto average_ratio(const std::array<double, count>& logarithms) -> double
{
    double sum = 0;
    for (const auto logarithm : logarithms) {
        sum += std::exp(std::min(logarithm, max_logarithm));
    }
    return sum / static_cast<double>(count);
}

/** Returns the likelihood ratio of "the proportion is above \p limit" against "it is not", for
 * \p events of \p responses. */
auto ratio_above_limit(double limit, double events, double responses) -> double
{
    const auto null = std::min(limit, max_proportion);
    std::array<double, alternatives_to_limit.size()> logarithms{};
    for (std::size_t index = 0; index < logarithms.size(); ++index) {
        const auto alternative = null + (1 - null) * alternatives_to_limit.at(index);
        logarithms.at(index) = events * std::log(alternative / null) +
                               (responses - events) * std::log((1 - alternative) / (1 - null));
    }
    return average_ratio(logarithms);
}

/** Compares the periods from one start to the last; built from the last period backwards. */
class comparison {
  public:
    void add(const compared_counts& period)
    {
        new_.add(period.new_);
        old_.add(period.old_);
        if (period.new_.responses_ <= 0 || period.old_.responses_ <= 0) {
            return; // nothing to compare with
        }
        const auto expected =
            period.new_.responses_ / (period.new_.responses_ + period.old_.responses_);
        for (std::size_t index = 0; index < odds_ratios.size(); ++index) {
            const auto odds = odds_ratios.at(index) * expected / (1 - expected);
            const auto alternative = odds / (1 + odds);
            failure_logarithms_.at(index) +=
                period.new_.failures_ * std::log(alternative / expected) +
                period.old_.failures_ * std::log((1 - alternative) / (1 - expected));
        }
    }

    [[nodiscard]] auto failures(const judge_options& options) const -> judge_evidence
    {
        judge_evidence evidence{.new_ = new_, .old_ = old_};
        const auto difference = proportion(new_.failures_, new_.responses_) -
                                proportion(old_.failures_, old_.responses_);
        if (difference < options.failure_difference_) {
            return evidence;
        }
        const auto limit =
            proportion(old_.failures_ + added_old_failures, old_.responses_ + added_old_responses) +
            options.failure_margin_;
        const auto above_limit = old_.responses_ < needed_old_responses
                                     ? 0
                                     : ratio_above_limit(limit, new_.failures_, new_.responses_);
        evidence.likelihood_ratio_ = (average_ratio(failure_logarithms_) + above_limit) / 2;
        return evidence;
    }

    [[nodiscard]] auto slowness(const judge_options& options) const -> judge_evidence
    {
        judge_evidence evidence{.is_slowness_ = true, .new_ = new_, .old_ = old_};
        if (old_.responses_ < needed_old_responses) {
            return evidence;
        }
        evidence.likelihood_ratio_ =
            ratio_above_limit(proportion(old_.slow_, old_.responses_) + options.slow_margin_,
                              new_.slow_, new_.responses_);
        return evidence;
    }

  private:
    response_counts new_;
    response_counts old_;
    std::array<double, odds_ratios.size()> failure_logarithms_{};
};

/** Returns the sums over all rows; rows may have different numbers of periods. */
auto sum_of_rows(const std::map<std::string, compared_periods>& rows) -> compared_periods
{
    compared_periods sum;
    for (const auto& [row, periods] : rows) {
        sum.resize(std::max(sum.size(), periods.size()));
        for (std::size_t index = 0; index < periods.size(); ++index) {
            sum[index].new_.add(periods[index].new_);
            sum[index].old_.add(periods[index].old_);
        }
    }
    return sum;
}

/** Judges the periods of one row and adds what they show to \p finding. */
void judge_row(const std::string& row, const compared_periods& periods, double tests,
               const judge_options& options, judge_finding& finding)
{
    const auto later_starts = periods.size() / periods_between_starts + 1;
    comparison compared;
    for (auto start = periods.size(); start-- > 0;) {
        compared.add(periods[start]);
        if (start % periods_between_starts != 0) {
            continue;
        }
        const auto weight = start == 0
                                ? weight_of_all_periods
                                : (1 - weight_of_all_periods) / static_cast<double>(later_starts);
        const auto needed = tests / (weight * options.false_alarm_probability_);
        const bool is_recent = periods.size() - start <= recent_starts * periods_between_starts;
        for (auto evidence : {compared.failures(options), compared.slowness(options)}) {
            const auto ratio = evidence.likelihood_ratio_;
            finding.is_bad_ |= ratio >= needed;
            finding.is_suspicious_ |= ratio >= needed * options.suspicious_part_ ||
                                      (is_recent && ratio >= options.suspicious_ratio_);
            if (ratio > finding.evidence_.likelihood_ratio_) {
                evidence.row_ = row;
                finding.evidence_ = std::move(evidence);
            }
        }
    }
}

} // namespace

void response_counts::add(const response_counts& other)
{
    responses_ += other.responses_;
    failures_ += other.failures_;
    slow_ += other.slow_;
}

auto judge_rollout(const std::map<std::string, compared_periods>& rows,
                   const judge_options& options) -> judge_finding
{
    judge_finding finding;
    const auto tests = static_cast<double>(rows.size() + 1) * event_kinds;
    judge_row("", sum_of_rows(rows), tests, options, finding);
    if (rows.size() > 1) {
        for (const auto& [row, periods] : rows) {
            judge_row(row, periods, tests, options, finding);
        }
    }
    return finding;
}

auto describe(const judge_evidence& evidence) -> std::string
{
    const auto events = [&evidence](const response_counts& counts) {
        return evidence.is_slowness_ ? counts.slow_ : counts.failures_;
    };
    return fmt::format("{}: {:.0f} of {:.0f} responses {}, of the old version {:.0f} of {:.0f}; "
                       "likelihood ratio {:.3g}",
                       evidence.row_.empty() ? "all rows" : "row " + evidence.row_,
                       events(evidence.new_), evidence.new_.responses_,
                       evidence.is_slowness_ ? "slow" : "failed", events(evidence.old_),
                       evidence.old_.responses_, evidence.likelihood_ratio_);
}

} // namespace sycamorewinch
