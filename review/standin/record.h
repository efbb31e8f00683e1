/** \file
 * The record of a case: what was sent, answered and run, one line each.
 */
#pragma once

#include <fstream>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/** Writes record.txt. Safe from any thread. */
class record {
  public:
    explicit record(const std::string& path) : out_(path) {}

    /** Writes \p text with the seconds since the start; with \p also_printed on standard output as
     * well. */
    void line(const std::string& text, bool also_printed = false);
    /** The same, also printed. */
    void note(const std::string& text) { line(text, true); }

  private:
    std::mutex mutex_;
    std::ofstream out_;
    clock::time_point start_ = clock::now();
};

} // namespace review
