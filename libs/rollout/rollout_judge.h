/** \file
 * Decides from measured responses whether the new version of a service is worse than the old one.
 *
 * Both tests yield a likelihood ratio that, if the new version is not worse, exceeds 1 / a with a
 * probability of at most a, however often it is looked at (Ville's inequality). So the judge may be
 * asked at any time.
 *
 * - Failures: two proportions over the same time. Of the failures of both versions in one period, a
 *   share of new / (new + old) responses falls on the new version if both are equally good. The
 *   likelihood ratio of "the odds are R times higher" against this is multiplied over the periods
 *   and averaged over several R. This is strong while the new version gets few calls and weak when
 *   it gets half of them, so it is averaged with a second one: the proportion of the new version
 *   against that of the old one plus a margin.
 * - Slow responses: the proportion of the new version against that of the old one plus a margin,
 *   since targets of a good version may be slower than others.
 */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorewinch {

/** Responses of one version; fractions occur in averages. */
struct response_counts {
    double responses_ = 0;
    double failures_ = 0;
    double slow_ = 0;

    void add(const response_counts& other);
};

/** What both versions answered in one period. */
struct compared_counts {
    response_counts new_;
    response_counts old_;
};

/** Consecutive periods of one row, oldest first. */
using compared_periods = std::vector<compared_counts>;

/** The limits of the test. */
struct judge_options {
    /** Probability that a version that is not worse is found bad in one roll-out. */
    double false_alarm_probability_ = 0.001;
    /** A new version is bad only if its proportion of failures is higher by this much. It is below
     * 0.39, the smallest proportion that a bad version is known to fail, and above what one lost
     * target of a small subset contributes. */
    double failure_difference_ = 0.15;
    /** The margin of failures in the second test. */
    double failure_margin_ = 0.02;
    /** The margin of slow responses. If response times are distributed exponentially and the target
     * latency is 4 times their mean, targets that are 3 times slower add 0.25, and a version that
     * is 8 times slower 0.59. */
    double slow_margin_ = 0.30;
    /** The share does not grow if the evidence of the latest second or two is as strong as this
     * against an equally good version... */
    double suspicious_ratio_ = 20;
    /** ...or that of any time is as strong as this part of what a roll-back needs. */
    double suspicious_part_ = 0.005;
};

/** The evidence that decided, or the strongest so far. */
struct judge_evidence {
    std::string row_; ///< Empty: all rows together.
    bool is_slowness_ = false;
    double likelihood_ratio_ = 0;
    response_counts new_;
    response_counts old_;
};

/** What the judge found. */
struct judge_finding {
    bool is_bad_ = false;
    bool is_suspicious_ = false; ///< Not bad, but the share must not grow.
    judge_evidence evidence_;    ///< The strongest evidence against the new version.
};

/** Judges the new version by each row in \p rows, and by all of them together under the name "". */
[[nodiscard]] auto judge_rollout(const std::map<std::string, compared_periods>& rows,
                                 const judge_options& options = {}) -> judge_finding;

/** Returns a sentence with the numbers of \p evidence, for logs and operators. */
[[nodiscard]] auto describe(const judge_evidence& evidence) -> std::string;

} // namespace sycamorewinch
