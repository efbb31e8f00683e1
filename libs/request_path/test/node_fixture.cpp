#include "node_fixture.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/invariant.h"

namespace sycamorewinch {

namespace {

constexpr const char* entry_node_address = "127.0.0.1:1";
constexpr const char* target_node_address = "127.0.0.1:2";
constexpr std::chrono::milliseconds row_timeout{120'000};
constexpr std::string_view length_field = "content-length: ";

/** Returns a substitute for the record of unrepeatable requests that grants every attempt and notes
 * in \p node how it ended. */
auto granting_hooks(test_node& node) -> run_record_hooks
{
    return {[](const run_operation& operation, const reservation_callback& reply) {
                reply({operation.attempt_, run_verdict::granted, {}});
            },
            [&node](const run_operation& operation) {
                const std::lock_guard guard(node.mutex_);
                node.run_ends_.push_back(operation.kind_);
            }};
}

auto start_node(const std::string& own_address, const header_mapping& mapping,
                std::optional<std::uint64_t> memory_limit) -> std::unique_ptr<test_node>
{
    constexpr std::size_t max_connections = 1'000;
    auto node = std::make_unique<test_node>(own_address);
    if (memory_limit) {
        node->account_.emplace(memory_limits{*memory_limit, *memory_limit}, node->metrics_);
        node->state_.set_caller_limits({&*node->account_, max_connections});
    }
    node->state_.set_header_mapping(mapping);
    node->state_.set_run_record_hooks(granting_hooks(*node));
    node->state_.set_crash_report_hook([raw = node.get()](const crash_record& record) {
        const std::lock_guard guard(raw->mutex_);
        raw->crash_records_.push_back(record);
    });
    const auto key = cluster_key::create("0123456789abcdef0123456789abcdef");
    auto worker = node_worker::start(node->state_, *key, {{"127.0.0.1", 0}, {"127.0.0.1", 0}});
    invariant(worker.has_value(), "a test node cannot listen");
    node->worker_ = std::move(*worker);
    return node;
}

auto make_record(const row& row, const std::string& node_address) -> target_record
{
    target_record record;
    record.service_ = row.service_;
    record.target_ = "d1";
    record.node_address_ = node_address;
    record.slots_ = 1;
    return record;
}

} // namespace

auto test_node::crash_record_count(crash_event event) -> std::size_t
{
    const std::lock_guard guard(mutex_);
    return static_cast<std::size_t>(
        std::ranges::count(crash_records_, event, &crash_record::event_));
}

auto test_node::run_end_count(run_operation_kind kind) -> std::size_t
{
    const std::lock_guard guard(mutex_);
    return static_cast<std::size_t>(std::ranges::count(run_ends_, kind));
}

auto unrepeatable_row() -> row
{
    row row;
    row.service_ = "dialer";
    row.path_prefix_ = "/";
    row.timeout_ = row_timeout;
    row.retries_ = 2;
    return row;
}

node_fixture::node_fixture(call_path path, std::uint16_t target_port, const row& row,
                           std::uint32_t slots, const header_mapping& mapping,
                           std::optional<std::uint64_t> memory_limit)
{
    (void)wait_until([] { return true; }); // creates the Qt application object before any thread
    entry_node_ = start_node(entry_node_address, mapping, memory_limit);
    if (path == call_path::through_peer) {
        target_node_ = start_node(target_node_address, mapping, memory_limit);
    }
    for_each_node([&row](test_node& node, const std::string& target_address) {
        node.state_.publish_routes(
            route_table::create(std::make_shared<const table>(make_table(1, {row})),
                                {make_record(row, target_address)}));
    });
    auto targets = std::make_shared<local_targets>();
    targets->push_back({row.service_,
                        "d1",
                        {"127.0.0.1", target_port},
                        std::make_shared<admission_controller>(slots),
                        std::make_shared<target_meter>()});
    target_node().state_.publish_targets(std::move(targets));
}

void node_fixture::publish(const row& row, const std::vector<organisation>& organisations)
{
    const auto enforced = std::make_shared<const table>(make_table(1, {row}, {}, organisations));
    for_each_node([&](test_node& node, const std::string& target_address) {
        node.state_.publish_routes(enforced, {make_record(row, target_address)});
    });
}

void node_fixture::for_each_node(
    const std::function<void(test_node& node, const std::string& target_address)>& action)
{
    if (target_node_) {
        action(*entry_node_, to_text(target_node_->worker_->addresses().peers_));
        action(*target_node_, target_node_address);
    }
    else {
        action(*entry_node_, entry_node_address);
    }
}

auto node_fixture::caller_port() const -> std::uint16_t
{
    return entry_node_->worker_->addresses().callers_.port_;
}

auto node_fixture::connect() const -> std::unique_ptr<loopback_socket>
{
    return loopback_socket::dial(caller_port());
}

auto is_complete_response(const std::string& bytes) -> bool
{
    const auto head = bytes.find("\r\n\r\n");
    const auto length = bytes.find(length_field);
    if (head == std::string::npos || length == std::string::npos) {
        return false;
    }
    const auto stated = std::stoul(bytes.substr(length + length_field.size()));
    return bytes.size() >= head + 4 + stated;
}

auto make_response(std::string_view body) -> std::string
{
    return fmt::format("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{}", body.size(), body);
}

} // namespace sycamorewinch
