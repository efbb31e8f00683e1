// Random damage to a settings file: it is accepted, or refused with an error that names a setting
// or line. SYCAMOREWINCH_ODD_TEXTS and SYCAMOREWINCH_SEED set the number of texts and the seed.
#include <QTemporaryFile>
#include <boost/test/unit_test.hpp>

#include "settings/daemon_settings.h"
#include "standin/odd_json.h"

using namespace sycamorewinch;

namespace {

const std::string node_settings = "role = node\n"
                                  "name = side-1\n"
                                  "zone = zone-a\n"
                                  "interface = platform\n"
                                  "trusted-network = yes\n"
                                  "requests-ahead = 1\n"
                                  "shutdown-grace-s = 6\n"
                                  "listen-peers = 10.0.0.1:7001\n"
                                  "listen-admin = 10.0.0.1:7003\n"
                                  "listen-callers = 10.0.0.1:7002\n"
                                  "interface-ready = 10.0.0.1:7004\n"
                                  "interface-control = 10.0.0.1:7005\n"
                                  "own-target = 10.0.0.1:8080\n"
                                  "own-service = ledger\n"
                                  "target-heartbeat-ms = 1500\n"
                                  "upstreams = 10.0.0.2:7005,10.0.0.3:7005\n"
                                  "control-port = 7001\n";

auto damage(std::string text, const random_hook& random) -> std::string
{
    static const std::vector<std::string> odd_values{"-1",
                                                     "0",
                                                     "65535",
                                                     "65536",
                                                     "4294967296",
                                                     "18446744073709551616",
                                                     "1e400",
                                                     "nan",
                                                     "inf",
                                                     "",
                                                     "yes",
                                                     "maybe",
                                                     "\xc3",
                                                     "\xff",
                                                     std::string(65, 'n'),
                                                     std::string(100'000, '9'),
                                                     "10.0.0.1:0",
                                                     "10.0.0.1:65536",
                                                     "10.0.0.1:-1",
                                                     "10.0.0.1",
                                                     "[::1",
                                                     "[fe80::1%eth0]:80",
                                                     "{\"a\":1}",
                                                     std::string(2'000, '['),
                                                     "a=b=c",
                                                     ";",
                                                     "10.0.0.1:7001,,10.0.0.1:7001",
                                                     std::string("\0", 1),
                                                     "[section]",
                                                     "\nname"};
    for (auto left = 1 + uniform_below(random, 3); left > 0; --left) {
        const auto at = uniform_below(random, text.size() + 1);
        const auto equals = text.find("= ", at);
        const auto end = equals == std::string::npos ? equals : text.find('\n', equals);
        if (end != std::string::npos && uniform_below(random, 5) > 0) {
            const auto start = equals + 2;
            text.replace(start, end - start, odd_values[uniform_below(random, odd_values.size())]);
        }
        else if (uniform_below(random, 2) == 0) {
            text.resize(at);
        }
        else {
            text.insert(at, 1, static_cast<char>(random()));
        }
    }
    return text;
}

auto parse(const std::string& text) -> result<parsed_settings>
{
    QTemporaryFile file;
    BOOST_REQUIRE(file.open());
    file.write(text.data(), static_cast<qint64>(text.size()));
    file.close();
    return parse_daemon_settings({"--settings-file=" + file.fileName().toStdString()},
                                 [](const std::string&) { return std::optional<std::string>(); });
}

} // namespace

BOOST_AUTO_TEST_CASE(odd_settings_are_refused_with_a_reason)
{
    BOOST_REQUIRE(parse(node_settings).has_value());
    const auto random = odd_text_random();
    std::uint64_t refused = 0;
    for (auto left = odd_text_count(); left > 0; --left) {
        const auto parsed = parse(damage(node_settings, random));
        if (!parsed) {
            ++refused;
            BOOST_TEST(!parsed.error().message_.empty());
            continue;
        }
        const auto& settings = parsed->settings_;
        BOOST_TEST(settings.name_.size() <= 64U);
        BOOST_TEST(settings.availability_zone_.size() <= 64U);
        BOOST_TEST(to_text(settings.listen_peers_).size() <= 64U);
    }
    BOOST_TEST(refused > 0U);
}
