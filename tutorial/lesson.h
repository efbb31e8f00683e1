/** \file
 * Support for the lessons: prints and checks each step, so that an outdated lesson fails.
 */
#pragma once

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace lesson {

/** Prints \p what and whether it \p holds; exits with failure if it does not. */
inline void check(std::string_view what, bool holds)
{
    std::cout << (holds ? "ok:     " : "FAILED: ") << what << '\n';
    if (!holds) {
        std::exit(EXIT_FAILURE);
    }
}

} // namespace lesson
