#include <boost/test/unit_test.hpp>

#include "observability/metrics.h"

using namespace sycamorewinch;

BOOST_AUTO_TEST_CASE(counters_are_written_with_labels)
{
    metrics_registry metrics;
    metrics.count("calls_total", "Calls.", {{"service", "dia\"ler"}}).add(3);
    const auto text = metrics.prometheus_text();
    BOOST_TEST(text.find("# TYPE calls_total counter\n") != std::string::npos);
    BOOST_TEST(text.find("calls_total{service=\"dia\\\"ler\"} 3\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(quantiles_are_within_one_bin_of_the_values)
{
    histogram values(1e-5, 100, 70);
    for (int index = 1; index <= 100; ++index) {
        values.record(index * 1e-3);
    }
    BOOST_TEST(values.count() == 100);
    BOOST_TEST(values.quantile(0.5) >= 0.05);
    BOOST_TEST(values.quantile(0.5) <= 0.07);
    BOOST_TEST(values.quantile(1.0) >= 0.1);
}
