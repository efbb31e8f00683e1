#include "storage/file_system.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <memory>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fmt/core.h>

namespace sycamorewinch {

namespace {

constexpr mode_t file_mode = 0600;

auto system_call_error(std::string_view operation, const std::string& path) -> tl::unexpected<error>
{
    const auto kind = errno == ENOENT ? error_kind::not_found : error_kind::io;
    return failure(kind, fmt::format("cannot {} {}: {}", operation, path, std::strerror(errno)));
}

/** An open file descriptor, closed at the end of its scope. */
class file_descriptor {
  public:
    file_descriptor(const std::string& path, int flags)
        : number_(::open(path.c_str(), flags | O_CLOEXEC, file_mode))
    {
    }
    file_descriptor(const file_descriptor&) = delete;
    auto operator=(const file_descriptor&) -> file_descriptor& = delete;
    file_descriptor(file_descriptor&&) = delete;
    auto operator=(file_descriptor&&) -> file_descriptor& = delete;
    ~file_descriptor()
    {
        if (number_ >= 0) {
            ::close(number_);
        }
    }

    [[nodiscard]] auto is_open() const -> bool { return number_ >= 0; }
    [[nodiscard]] auto number() const -> int { return number_; }

  private:
    int number_;
};

auto write_all(int file, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno != EINTR) {
            return false;
        }
        bytes.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
    }
    return true;
}

auto sync_folder(const std::string& folder) -> result<void>
{
    const file_descriptor file(folder, O_RDONLY | O_DIRECTORY);
    if (!file.is_open() || ::fsync(file.number()) != 0) {
        return system_call_error("sync folder", folder);
    }
    return {};
}

auto read_file(const std::string& path) -> result<std::string>
{
    const file_descriptor file(path, O_RDONLY);
    if (!file.is_open()) {
        return system_call_error("open", path);
    }
    struct stat status {};
    if (::fstat(file.number(), &status) != 0) {
        return system_call_error("size", path);
    }
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t bytes_read = 0;
    while (bytes_read < bytes.size()) {
        const auto count =
            ::read(file.number(), bytes.data() + bytes_read, bytes.size() - bytes_read);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return system_call_error("read", path);
        }
        bytes_read += static_cast<std::size_t>(count);
    }
    return bytes;
}

auto append_file(const std::string& folder, const std::string& path, std::string_view bytes)
    -> result<void>
{
    const bool is_new = ::access(path.c_str(), F_OK) != 0;
    const file_descriptor file(path, O_WRONLY | O_APPEND | O_CREAT);
    if (!file.is_open() || !write_all(file.number(), bytes) || ::fdatasync(file.number()) != 0) {
        return system_call_error("append to", path);
    }
    return is_new ? sync_folder(folder) : result<void>();
}

auto replace_file(const std::string& folder, const std::string& path, std::string_view bytes)
    -> result<void>
{
    const auto temporary = path + ".new";
    {
        const file_descriptor file(temporary, O_WRONLY | O_TRUNC | O_CREAT);
        if (!file.is_open() || !write_all(file.number(), bytes) || ::fsync(file.number()) != 0) {
            return system_call_error("write", temporary);
        }
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        return system_call_error("replace", path);
    }
    return sync_folder(folder);
}

auto truncate_file(const std::string& path, std::uint64_t length) -> result<void>
{
    const file_descriptor file(path, O_WRONLY);
    if (!file.is_open() || ::ftruncate(file.number(), static_cast<off_t>(length)) != 0 ||
        ::fsync(file.number()) != 0) {
        return system_call_error("truncate", path);
    }
    return {};
}

} // namespace

auto open_file_system(const std::string& folder) -> result<file_system>
{
    std::error_code creation_error;
    std::filesystem::create_directories(folder, creation_error);
    if (creation_error) {
        return failure(error_kind::io, fmt::format("cannot create the data folder {}: {}", folder,
                                                   creation_error.message()));
    }
    const auto lock = std::make_shared<file_descriptor>(folder + "/lock", O_RDWR | O_CREAT);
    if (!lock->is_open() || ::flock(lock->number(), LOCK_EX | LOCK_NB) != 0) {
        return failure(error_kind::conflict,
                       fmt::format("the data folder {} is in use by another process; give each "
                                   "process its own",
                                   folder));
    }
    file_system files;
    files.read_ = [folder, lock](const std::string& path) {
        return read_file(folder + "/" + path);
    };
    files.append_ = [folder](const std::string& path, std::string_view bytes) {
        return append_file(folder, folder + "/" + path, bytes);
    };
    files.replace_ = [folder](const std::string& path, std::string_view bytes) {
        return replace_file(folder, folder + "/" + path, bytes);
    };
    files.truncate_ = [folder](const std::string& path, std::uint64_t length) {
        return truncate_file(folder + "/" + path, length);
    };
    files.free_bytes_ = [folder]() -> std::uint64_t {
        std::error_code space_error;
        const auto space = std::filesystem::space(folder, space_error);
        return space_error ? 0 : space.available;
    };
    return files;
}

} // namespace sycamorewinch
