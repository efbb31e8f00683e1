#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "base/random.h"
#include "policy/path_index.h"

using namespace sycamorewinch;

namespace {

/** An entry of the index under test. */
struct index_entry {
    std::string prefix_;
    prefix_match match_ = prefix_match::segment;
};

/** Returns the text that begins every path that \p entry matches. */
auto literal_prefix(const index_entry& entry) -> std::string
{
    const bool adds_slash = entry.match_ == prefix_match::subtree && !entry.prefix_.ends_with('/');
    return adds_slash ? entry.prefix_ + '/' : entry.prefix_;
}

auto matches(std::string_view path, std::string_view prefix) -> bool
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    const auto rest = path.substr(prefix.size());
    return rest.empty() || prefix.ends_with('/') || rest.front() == '/' || rest.front() == '?';
}

/** Returns the longest match by linear scan. */
auto longest_match(std::string_view path, const std::vector<index_entry>& entries)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto prefix = literal_prefix(entries[index]);
        const bool is_longer = !best || prefix.size() > literal_prefix(entries[*best]).size();
        if (is_longer && matches(path, prefix)) {
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
        std::vector<index_entry> entries;
        entries.reserve(20);
        for (int count = 0; count < 20; ++count) {
            entries.push_back({random_path(random), uniform_below(random, 2) == 0
                                                        ? prefix_match::segment
                                                        : prefix_match::subtree});
        }
        path_index index;
        for (std::size_t position = 0; position < entries.size(); ++position) {
            index.add(entries[position].prefix_, position, entries[position].match_);
        }
        for (int call = 0; call < 200; ++call) {
            const auto path = random_path(random);
            const auto expected = longest_match(path, entries);
            BOOST_TEST((index.find(path) == expected), path);
            found += expected ? 1U : 0U;
        }
    }
    BOOST_TEST(found > 0U);
}

BOOST_AUTO_TEST_CASE(both_entries_of_one_prefix_may_be_present)
{
    path_index index;
    index.add("/x", 0);
    index.add("/x", 1, prefix_match::subtree);
    index.add("/", 2);
    BOOST_TEST(index.find("/x").value() == 0U);
    BOOST_TEST(index.find("/x?q=/y").value() == 0U);
    BOOST_TEST(index.find("/x/").value() == 1U);
    BOOST_TEST(index.find("/x/y").value() == 1U);
    BOOST_TEST(index.find("/xy").value() == 2U);
    BOOST_TEST(!index.find("").has_value());
}
