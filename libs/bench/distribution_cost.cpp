#include "bench/distribution_cost.h"

#include "base/invariant.h"
#include "bench/cost_meter.h"
#include "bench/sample_table.h"
#include "distribution/publisher.h"

namespace sycamorewinch {

namespace {

constexpr double microseconds_per_second = 1e6;
constexpr std::uint64_t table_services = 3'800;
constexpr std::uint64_t zones = 7;
constexpr std::uint64_t changes_measured = 20;

auto make_subscription(std::uint64_t number) -> subscribe
{
    return {"node-" + std::to_string(number), "zone-" + std::to_string(number % zones), false, {}};
}

auto make_progress_report(std::uint64_t number, std::uint64_t version) -> progress_report
{
    return {{{"zone-" + std::to_string(number % zones),
              1,
              version,
              1,
              {"node-" + std::to_string(number)}}}};
}

/** A publisher whose subscribers have acknowledged version 1. */
struct loaded_publisher {
    publisher publisher_;
    std::vector<row> rows_;
    std::uint64_t version_ = 1;

    loaded_publisher(std::uint64_t subscribers, std::uint64_t services)
        : rows_(sample_rows(services))
    {
        publisher_.set_table(sample_version(rows_, version_));
        for (std::uint64_t number = 0; number < subscribers; ++number) {
            publisher_.on_message(number, make_subscription(number));
        }
        acknowledge(subscribers);
    }

    void acknowledge(std::uint64_t subscribers)
    {
        for (std::uint64_t number = 0; number < subscribers; ++number) {
            publisher_.on_message(number, make_progress_report(number, version_));
        }
        static_cast<void>(publisher_.take_output());
    }

    /** Publishes the next version and returns the bytes sent to the subscribers. */
    auto change() -> std::uint64_t
    {
        ++version_;
        publisher_.set_table(sample_version(rows_, version_));
        std::uint64_t bytes = 0;
        for (const auto& message : publisher_.take_output().messages_) {
            bytes += message.bytes_->size();
        }
        return bytes;
    }
};

/** Returns the CPU microseconds of the publisher per change, including the acknowledgements. */
auto publisher_cpu_per_change(std::uint64_t subscribers) -> double
{
    loaded_publisher loaded(subscribers, table_services);
    std::vector<table_pointer> versions;
    for (std::uint64_t change = 0; change < changes_measured; ++change) {
        versions.push_back(sample_version(loaded.rows_, loaded.version_ + change + 1));
    }
    const auto cpu_seconds = cpu_seconds_of([&] {
        for (const auto& version : versions) {
            loaded.publisher_.set_table(version);
            static_cast<void>(loaded.publisher_.take_output());
            loaded.version_ = version->version_.number_;
            loaded.acknowledge(subscribers);
        }
    });
    return cpu_seconds * microseconds_per_second / static_cast<double>(changes_measured);
}

auto publisher_heap(std::uint64_t subscribers) -> double
{
    const auto before = heap_bytes();
    const loaded_publisher loaded(subscribers, 1);
    return static_cast<double>(heap_bytes() - before);
}

auto make_update(const std::vector<row>& rows, std::uint64_t from) -> distribution_message
{
    const auto before = sample_version(rows, from);
    const auto after = sample_version(rows, from + 1);
    return table_update{before->version_, after->version_, difference(*before, *after)};
}

/** Returns the CPU microseconds of a subscriber per update, including decoding. */
auto subscriber_cpu_per_change(std::uint64_t services) -> double
{
    const auto rows = sample_rows(services);
    subscriber receiver({"node", "zone", false, seeded_random(1)});
    const auto first = sample_version(rows, 1);
    const auto applied = receiver.on_message(table_update{{}, first->version_, {first->rows_, {}}});
    invariant(applied.has_value(), "the subscriber rejected the first table");
    std::vector<std::string> encoded_updates;
    for (std::uint64_t number = 1; number <= changes_measured; ++number) {
        encoded_updates.push_back(encode_message(make_update(rows, number)));
    }
    const auto cpu_seconds = cpu_seconds_of([&] {
        for (const auto& update : encoded_updates) {
            static_cast<void>(receiver.on_message(decode_distribution_message(update).value()));
        }
    });
    invariant(receiver.held()->version_.number_ == changes_measured + 1,
              "the subscriber did not apply every update");
    return cpu_seconds * microseconds_per_second / static_cast<double>(changes_measured);
}

auto table_heap(std::uint64_t services) -> double
{
    const auto before = heap_bytes();
    const auto version = sample_version(sample_rows(services), 1);
    return static_cast<double>(heap_bytes() - before);
}

auto whole_table_bytes(std::uint64_t services) -> double
{
    const auto version = sample_version(sample_rows(services), 1);
    const table_update whole{{}, version->version_, {version->rows_, {}}};
    return static_cast<double>(encode_message(whole).size());
}

auto target_heap(std::uint64_t targets) -> double
{
    const auto before = heap_bytes();
    target_directory directory;
    for (const auto& target : sample_targets(targets, table_services, zones)) {
        directory.merge(target);
    }
    return static_cast<double>(heap_bytes() - before);
}

auto target_bytes(std::uint64_t targets) -> double
{
    const target_report report{sample_targets(targets, table_services, zones)};
    return static_cast<double>(encode_message(report).size());
}

} // namespace

auto one_cell_change_bytes(std::uint64_t services) -> std::uint64_t
{
    return encode_message(make_update(sample_rows(services), 1)).size();
}

auto measure_distribution(const run_settings& settings) -> std::vector<series>
{
    const std::vector<std::uint64_t> subscribers{100, 200, 400, 800};
    const std::vector<std::uint64_t> services{475, 950, 1'900, 3'800};
    const std::vector<std::uint64_t> targets{2'500, 5'000, 10'000, 20'000};
    const auto change_bytes = [](std::uint64_t size) {
        return static_cast<double>(one_cell_change_bytes(size));
    };
    return {
        measure_series({"hub_cpu_per_change", "subscribers", "us", false, {}}, subscribers,
                       settings, publisher_cpu_per_change),
        measure_series({"hub_heap", "subscribers", "bytes", false, {}}, subscribers, settings,
                       publisher_heap),
        measure_series({"subscriber_cpu_per_change", "services", "us", false, {}}, services,
                       settings, subscriber_cpu_per_change),
        measure_series({"table_heap", "services", "bytes", false, {}}, services, settings,
                       table_heap),
        measure_series({"whole_table_bytes", "services", "bytes", true, {}}, services, settings,
                       whole_table_bytes),
        measure_series({"one_cell_change_bytes", "services", "bytes", true, {}}, services, settings,
                       change_bytes),
        measure_series({"target_heap", "targets", "bytes", false, {}}, targets, settings,
                       target_heap),
        measure_series({"target_report_bytes", "targets", "bytes", true, {}}, targets, settings,
                       target_bytes),
    };
}

} // namespace sycamorewinch
