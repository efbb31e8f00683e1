#include "rollout/version_report.h"

#include <algorithm>

namespace sycamorewinch {

namespace {

constexpr std::size_t sample_fields = 6;
constexpr std::size_t load_fields = 4;

auto read_sample(cbor_reader& reader) -> version_sample
{
    version_sample sample;
    reader.array(sample_fields);
    sample.service_ = reader.text();
    sample.version_ = reader.text();
    sample.row_ = reader.text();
    sample.responses_ = reader.number();
    sample.failures_ = reader.number();
    sample.slow_ = reader.number();
    return sample;
}

auto read_load(cbor_reader& reader) -> version_load
{
    version_load load;
    reader.array(load_fields);
    load.service_ = reader.text();
    load.version_ = reader.text();
    load.in_flight_ = reader.number();
    load.targets_ = reader.number();
    return load;
}

} // namespace

void merge_report(version_report& total, const version_report& added)
{
    for (const auto& sample : added.samples_) {
        const auto found = std::ranges::find_if(total.samples_, [&sample](const auto& other) {
            return other.service_ == sample.service_ && other.version_ == sample.version_ &&
                   other.row_ == sample.row_;
        });
        if (found == total.samples_.end()) {
            total.samples_.push_back(sample);
            continue;
        }
        found->responses_ += sample.responses_;
        found->failures_ += sample.failures_;
        found->slow_ += sample.slow_;
    }
    for (const auto& load : added.loads_) {
        const auto found = std::ranges::find_if(total.loads_, [&load](const auto& other) {
            return other.service_ == load.service_ && other.version_ == load.version_;
        });
        if (found == total.loads_.end()) {
            total.loads_.push_back(load);
            continue;
        }
        found->in_flight_ += load.in_flight_;
        found->targets_ += load.targets_;
    }
}

void write_version_report(cbor_writer& writer, const version_report& report)
{
    writer.array(2).array(report.samples_.size());
    for (const auto& sample : report.samples_) {
        writer.array(sample_fields).text(sample.service_).text(sample.version_).text(sample.row_);
        writer.number(sample.responses_).number(sample.failures_).number(sample.slow_);
    }
    writer.array(report.loads_.size());
    for (const auto& load : report.loads_) {
        writer.array(load_fields).text(load.service_).text(load.version_);
        writer.number(load.in_flight_).number(load.targets_);
    }
}

auto read_version_report(cbor_reader& reader, const skipped_record_hook& on_skipped)
    -> version_report
{
    version_report report;
    reader.array(2);
    report.samples_ = read_record_list(reader, read_sample, on_skipped);
    report.loads_ = read_record_list(reader, read_load, on_skipped);
    return report;
}

} // namespace sycamorewinch
