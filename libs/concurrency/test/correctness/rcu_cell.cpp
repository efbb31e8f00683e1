#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

#include "concurrency/rcu_cell.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(concurrent_readers_see_complete_values_in_publication_order)
{
    struct pair {
        int first_;
        int second_;
    };
    rcu_cell<pair> cell(std::make_shared<const pair>(pair{0, 0}));
    std::atomic<int> inconsistent_reads = 0;
    std::vector<std::thread> readers;
    readers.reserve(3);
    for (int reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            int last_seen = 0;
            while (last_seen < 200) {
                const auto value = cell.read();
                inconsistent_reads +=
                    value->first_ != value->second_ || value->first_ < last_seen ? 1 : 0;
                last_seen = value->first_;
            }
        });
    }
    for (int value = 1; value <= 200; ++value) {
        cell.publish(std::make_shared<const pair>(pair{value, value}));
    }
    for (auto& reader : readers) {
        reader.join();
    }
    BOOST_TEST(inconsistent_reads == 0);
}
