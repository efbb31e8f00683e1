/** \file
 * What every lesson uses: a step is said, and checked, so that a lesson that no longer holds fails.
 */
#pragma once

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace lesson {

/** Prints what a step shows; ends the lesson with a failure when it does not. */
inline void shows(std::string_view what, bool holds)
{
    std::cout << (holds ? "yes: " : "NO:  ") << what << '\n';
    if (!holds) {
        std::exit(EXIT_FAILURE);
    }
}

} // namespace lesson
