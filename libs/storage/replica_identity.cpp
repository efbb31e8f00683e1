#include "storage/replica_identity.h"

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr const char* identity_path = "identity";
constexpr std::size_t max_identity_bytes = 64;

} // namespace

auto load_or_create_identity(const file_system& files, const std::string& address, bool founder,
                             const random_hook& random) -> result<replica_identity>
{
    const auto stored = files.read_(identity_path);
    if (stored && !stored->empty()) {
        if (stored->size() > max_identity_bytes) {
            return failure(error_kind::corrupt,
                           fmt::format("file {} holds {} bytes; a replica name has at most {}",
                                       identity_path, stored->size(), max_identity_bytes));
        }
        return replica_identity{*stored, false};
    }
    if (!stored && stored.error().kind_ != error_kind::not_found) {
        return tl::unexpected(stored.error());
    }
    const auto name = founder ? address : fmt::format("{}/{:08x}", address, random() >> 32U);
    if (auto written = files.replace_(identity_path, name); !written) {
        return tl::unexpected(written.error());
    }
    return replica_identity{name, true};
}

} // namespace sycamorewinch
