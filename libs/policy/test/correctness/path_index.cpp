#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "base/random.h"
#include "policy/path_index.h"

using namespace sycamorewinch;

namespace {

auto matches(std::string_view path, std::string_view prefix) -> bool
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    const auto rest = path.substr(prefix.size());
    return rest.empty() || prefix.ends_with('/') || rest.front() == '/' || rest.front() == '?';
}

/** Returns the longest match by linear scan. */
auto longest_match(std::string_view path, const std::vector<std::string>& prefixes)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < prefixes.size(); ++index) {
        const bool is_longer = !best || prefixes[index].size() > prefixes[*best].size();
        if (is_longer && matches(path, prefixes[index])) {
            best = index;
        }
    }
    return best;
}

auto random_path(const random_hook& random) -> std::string
{
    constexpr std::string_view letters = "ab/?";
    std::string path = "/";
    for (auto left = uniform_below(random, 7); left > 0; --left) {
        path += letters[uniform_below(random, letters.size())];
    }
    return path;
}

} // namespace

BOOST_AUTO_TEST_CASE(index_agrees_with_linear_scan)
{
    const auto random = seeded_random(7);
    std::size_t found = 0;
    for (int table = 0; table < 50; ++table) {
        std::vector<std::string> prefixes;
        prefixes.reserve(20);
        for (int count = 0; count < 20; ++count) {
            prefixes.push_back(random_path(random));
        }
        path_index index;
        for (std::size_t position = 0; position < prefixes.size(); ++position) {
            index.add(prefixes[position], position);
        }
        for (int call = 0; call < 200; ++call) {
            const auto path = random_path(random);
            const auto expected = longest_match(path, prefixes);
            BOOST_TEST((index.find(path) == expected), path);
            found += expected ? 1U : 0U;
        }
    }
    BOOST_TEST(found > 0U);
}
