#include "src/process/io/durable_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include <absl/strings/str_cat.h>

namespace toucanusher {

absl::Status write_all(int file, std::string const& bytes, std::string const& name) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        ssize_t const count = ::write(file, bytes.data() + done, bytes.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return io_error("cannot write", name);
        done += static_cast<std::size_t>(count);
    }
    return absl::OkStatus();
}

absl::Status replace_file(std::string const& folder, std::string const& name,
                          std::string const& bytes) {
    std::string const path = absl::StrCat(folder, "/", name);
    std::string const temporary_path = path + ".new";
    int const file = ::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0)
        return io_error("cannot open", temporary_path);
    absl::Status status = write_all(file, bytes, temporary_path);
    if (status.ok() && ::fsync(file) != 0)
        status = io_error("cannot sync", temporary_path);
    ::close(file);
    if (!status.ok())
        return status;
    if (::rename(temporary_path.c_str(), path.c_str()) != 0)
        return io_error("cannot rename", temporary_path);
    return sync_folder(folder);
}

absl::Status sync_folder(std::string const& folder) {
    int const directory = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (directory < 0)
        return io_error("cannot open", folder);
    int const result = ::fsync(directory);
    ::close(directory);
    return result == 0 ? absl::OkStatus() : io_error("cannot sync", folder);
}

absl::Status io_error(std::string const& what, std::string const& file) {
    std::string const text = absl::StrCat(what, " ", file, ": ", std::strerror(errno));
    return errno == ENOSPC ? absl::ResourceExhaustedError(text) : absl::InternalError(text);
}

} // namespace toucanusher
