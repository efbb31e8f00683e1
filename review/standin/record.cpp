#include "record.h"

#include <array>
#include <cstdio>

namespace review {

void record::line(const std::string& text, bool also_printed)
{
    const auto seconds = std::chrono::duration<double>(clock::now() - start_).count();
    std::array<char, 32> time{};
    static_cast<void>(std::snprintf(time.data(), time.size(), "%8.3f ", seconds));
    const std::lock_guard guard(mutex_);
    out_ << time.data() << text << std::endl;
    if (also_printed) {
        std::printf("%s%s\n", time.data(), text.c_str());
        static_cast<void>(std::fflush(stdout));
    }
}

} // namespace review
