#include "control/test/error/fake_disk.h"

namespace sycamorewinch::test {

namespace {

constexpr std::uint64_t rate_unit = 65536;

auto io_failure() -> tl::unexpected<error>
{
    return failure(error_kind::io, "injected disk fault");
}

} // namespace

auto fake_disk::fault_occurs(std::uint64_t rate) const -> bool
{
    return rate > 0 && uniform_below(random_, rate_unit) < rate;
}

auto fake_disk::write(const std::string& path, std::string intended_content, bool is_atomic)
    -> result<void>
{
    ++writes_;
    auto& file = files_[path];
    const bool is_append = !is_atomic && intended_content.starts_with(file.cached_);
    const auto partial_content = [&] {
        if (!is_append) {
            return uniform_below(random_, 2) == 0 ? file.cached_ : intended_content;
        }
        const auto added = intended_content.size() - file.cached_.size();
        return intended_content.substr(0, file.cached_.size() + uniform_below(random_, added + 1));
    };
    file.is_replaced_ = file.is_replaced_ || is_atomic;
    const bool crashes = fault_occurs(faults_.crash_) || writes_ == crash_at_write_;
    if (is_full_ || crashes || fault_occurs(faults_.failed_write_)) {
        file.cached_ = partial_content();
        crashed_ = crashed_ || crashes;
        if (crashes && uniform_below(random_, 4) == 0) {
            // The crash came after the sync.
            file = {intended_content, intended_content, true, false};
        }
        return io_failure();
    }
    file.cached_ = std::move(intended_content);
    if (fault_occurs(faults_.failed_sync_)) {
        return io_failure();
    }
    if (!log_sync_disabled_ || path != "log") {
        file.durable_ = file.cached_;
        file.exists_durably_ = true;
        file.is_replaced_ = false;
    }
    return {};
}

void fake_disk::lose_power()
{
    for (auto& [path, file] : files_) {
        if (!file.is_replaced_ && file.cached_.starts_with(file.durable_)) {
            const auto pending = file.cached_.size() - file.durable_.size();
            file.cached_.resize(file.durable_.size() + uniform_below(random_, pending + 1));
            file.durable_ = file.cached_;
        }
        else if (uniform_below(random_, 2) == 0) {
            file.durable_ = file.cached_;
        }
        file.cached_ = file.durable_;
        file.is_replaced_ = false;
    }
    std::erase_if(files_, [](const auto& named) {
        return !named.second.exists_durably_ && named.second.durable_.empty();
    });
}

auto fake_disk::open() -> file_system
{
    file_system files;
    files.read_ = [this](const std::string& path) -> result<std::string> {
        const auto found = files_.find(path);
        if (found == files_.end() || found->second.cached_.empty()) {
            return failure(error_kind::not_found, path);
        }
        return found->second.cached_;
    };
    files.append_ = [this](const std::string& path, std::string_view bytes) {
        return write(path, files_[path].cached_ + std::string(bytes), false);
    };
    files.replace_ = [this](const std::string& path, std::string_view bytes) {
        return write(path, std::string(bytes), true);
    };
    files.truncate_ = [this](const std::string& path, std::uint64_t length) {
        return write(path, files_[path].cached_.substr(0, length), true);
    };
    return files;
}

} // namespace sycamorewinch::test
