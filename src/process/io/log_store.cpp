#include "src/process/io/log_store.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include "src/process/io/durable_file.h"
#include "src/process/log_codec.h"

namespace toucanusher {

namespace {

constexpr char const* log_file_name = "log";
constexpr char const* snapshot_file_name = "snapshot";
constexpr std::size_t frame_header_bytes = sizeof(std::uint32_t) + sizeof(std::uint64_t);
// The log is rewritten once it is larger than this and than twice its size after the last rewrite.
constexpr std::uint64_t rewrite_threshold_bytes = 8U << 20U;

std::string read_file(std::string const& path) {
    std::ifstream input(path, std::ios::binary);
    std::ostringstream bytes;
    bytes << input.rdbuf();
    return bytes.str();
}

// Seeds the checksum, so that a batch and a record inside it cannot be mistaken for each other.
enum class frame_kind : std::uint8_t { record = 0, batch = 1 };

std::string frame(std::string const& body, frame_kind kind) {
    auto const length = static_cast<std::uint32_t>(body.size());
    std::uint64_t const checksum =
        XXH3_64bits_withSeed(body.data(), body.size(), static_cast<XXH64_hash_t>(kind));
    std::string framed(frame_header_bytes, '\0');
    std::memcpy(framed.data(), &length, sizeof length);
    std::memcpy(framed.data() + sizeof length, &checksum, sizeof checksum);
    return framed + body;
}

// Returns the body of the frame at `offset`, or nullopt if it is incomplete or its checksum
// differs.
std::optional<std::string_view> read_frame(std::string_view bytes, std::size_t offset,
                                           frame_kind kind) {
    if (bytes.size() - offset < frame_header_bytes)
        return std::nullopt;
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
    std::memcpy(&length, bytes.data() + offset, sizeof length);
    std::memcpy(&checksum, bytes.data() + offset + sizeof length, sizeof checksum);
    if (bytes.size() - offset - frame_header_bytes < length)
        return std::nullopt;
    std::string_view const body = bytes.substr(offset + frame_header_bytes, length);
    auto const seed = static_cast<XXH64_hash_t>(kind);
    if (XXH3_64bits_withSeed(body.data(), body.size(), seed) != checksum)
        return std::nullopt;
    return body;
}

// Returns the writes of a batch, or nullopt if any record cannot be decoded.
std::optional<std::vector<disk_write>> read_batch(std::string_view batch) {
    std::vector<disk_write> writes;
    for (std::size_t offset = 0; offset < batch.size();) {
        auto const body = read_frame(batch, offset, frame_kind::record);
        auto write = body ? decode_disk_write(*body)
                          : absl::StatusOr<disk_write>(absl::DataLossError("bad record"));
        if (!write.ok())
            return std::nullopt;
        offset += frame_header_bytes + body->size();
        writes.push_back(*std::move(write));
    }
    return writes;
}

// Returns true if an intact batch starts anywhere after `offset`. The damage is then not an
// incomplete last write, since a batch is written only after the previous one is synced.
bool intact_batch_follows(std::string_view bytes, std::size_t offset) {
    for (std::size_t at = offset + 1; at + frame_header_bytes < bytes.size(); ++at) {
        auto const body = read_frame(bytes, at, frame_kind::batch);
        if (body && !body->empty() && read_batch(*body))
            return true;
    }
    return false;
}

} // namespace

std::string frame_record(std::string const& body) {
    return frame(body, frame_kind::record);
}

absl::StatusOr<std::unique_ptr<log_store>> log_store::open(std::string folder) {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        return absl::InternalError(absl::StrCat("cannot create ", folder, ": ", error.message()));
    std::unique_ptr<log_store> store(new log_store(std::move(folder)));
    if (auto const status = store->load(); !status.ok())
        return status;
    return store;
}

absl::Status log_store::discard(std::string const& folder) {
    std::error_code error;
    for (auto const& item : std::filesystem::directory_iterator(folder, error))
        std::filesystem::remove(item.path(), error);
    if (error)
        return absl::InternalError(absl::StrCat("cannot empty ", folder, ": ", error.message()));
    return sync_folder(folder);
}

log_store::log_store(std::string folder) : folder_(std::move(folder)) {}

log_store::~log_store() {
    if (log_file_ >= 0)
        ::close(log_file_);
}

absl::Status log_store::recover() {
    if (log_file_ >= 0)
        ::close(log_file_);
    log_file_ = -1;
    current_ = {};
    if (auto const status = load(); !status.ok())
        return status;
    // After a failed sync the kernel may mark pages clean that never reached the disk.
    if (auto const status = rewrite_log(); !status.ok())
        return status;
    failed_ = false;
    return absl::OkStatus();
}

absl::Status log_store::append(std::vector<disk_write> const& writes) {
    if (failed_)
        return absl::FailedPreconditionError("an earlier write failed; call recover() first");
    failed_ = true; // cleared when every step below has succeeded
    std::string bytes;
    for (disk_write const& write : writes) {
        disk_write record = write;
        record.snapshot.reset();
        bytes += frame_record(encode_disk_write(record));
        apply(write);
        if (!write.snapshot)
            continue;
        // The truncation of entries that conflict with the snapshot must be durable before it.
        if (auto const status = flush(bytes); !status.ok())
            return status;
        if (auto const status = write_snapshot(*write.snapshot); !status.ok())
            return status;
        rewritten_bytes_ = 0; // the log may hold little that is still needed
    }
    if (auto const status = flush(bytes); !status.ok())
        return status;
    if (log_bytes_ > std::max(rewrite_threshold_bytes, 2 * rewritten_bytes_))
        if (auto const status = rewrite_log(); !status.ok())
            return status;
    failed_ = false;
    return absl::OkStatus();
}

absl::Status log_store::load() {
    if (auto const status = load_snapshot(); !status.ok())
        return status;
    if (auto const status = load_records(); !status.ok())
        return status;
    std::string const path = absl::StrCat(folder_, "/", log_file_name);
    log_file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (log_file_ < 0)
        return io_error("cannot open", path);
    if (truncated_bytes_ > 0 && ::fsync(log_file_) != 0)
        return io_error("cannot sync", path);
    return sync_folder(folder_);
}

absl::Status log_store::load_snapshot() {
    std::string const path = absl::StrCat(folder_, "/", snapshot_file_name);
    if (!std::filesystem::exists(path))
        return absl::OkStatus();
    was_empty_ = false;
    std::string const bytes = read_file(path);
    auto const body = bytes.empty() ? std::nullopt : read_frame(bytes, 0, frame_kind::record);
    auto const write = body ? decode_disk_write(*body)
                            : absl::StatusOr<disk_write>(absl::DataLossError("bad checksum"));
    if (!write.ok() || !write->snapshot)
        return absl::DataLossError(absl::StrCat(path, " is damaged; replace this host"));
    current_.snapshot = *write->snapshot;
    return absl::OkStatus();
}

absl::Status log_store::load_records() {
    std::string const path = absl::StrCat(folder_, "/", log_file_name);
    if (!std::filesystem::exists(path))
        return absl::OkStatus();
    std::string const bytes = read_file(path);
    was_empty_ = was_empty_ && bytes.empty();
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        auto const body = read_frame(bytes, offset, frame_kind::batch);
        auto writes = body ? read_batch(*body) : std::nullopt;
        if (!writes) {
            if (intact_batch_follows(bytes, offset))
                return absl::DataLossError(absl::StrCat(path, " is damaged at byte ", offset,
                                                        " before its end; replace this host"));
            break;
        }
        offset += frame_header_bytes + body->size();
        for (disk_write& write : *writes)
            apply(std::move(write));
    }
    truncated_bytes_ = bytes.size() - offset;
    log_bytes_ = offset;
    if (truncated_bytes_ > 0 && ::truncate(path.c_str(), static_cast<off_t>(offset)) != 0)
        return io_error("cannot truncate", path);
    bool const gap =
        !current_.entries.empty() && current_.entries.front().index > current_.snapshot.index + 1;
    return gap ? absl::DataLossError(
                     absl::StrCat(path, " lacks entries after the snapshot; replace this host"))
               : absl::OkStatus();
}

absl::Status log_store::flush(std::string& bytes) {
    if (bytes.empty())
        return absl::OkStatus();
    std::string const batch = frame(bytes, frame_kind::batch);
    if (auto const status = write_all(log_file_, batch, log_file_name); !status.ok())
        return status;
    if (::fdatasync(log_file_) != 0)
        return io_error("cannot sync", log_file_name);
    log_bytes_ += batch.size();
    bytes.clear();
    return absl::OkStatus();
}

absl::Status log_store::write_snapshot(log_snapshot const& snapshot) {
    disk_write write;
    write.snapshot = snapshot;
    return replace_file(folder_, snapshot_file_name, frame_record(encode_disk_write(write)));
}

absl::Status log_store::rewrite_log() {
    disk_write full_state;
    full_state.state = current_.state;
    full_state.entries = current_.entries;
    std::string const bytes = frame(frame_record(encode_disk_write(full_state)), frame_kind::batch);
    if (auto const status = replace_file(folder_, log_file_name, bytes); !status.ok())
        return status;
    ::close(log_file_);
    std::string const path = absl::StrCat(folder_, "/", log_file_name);
    log_file_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (log_file_ < 0)
        return io_error("cannot open", path);
    log_bytes_ = bytes.size();
    rewritten_bytes_ = log_bytes_;
    return absl::OkStatus();
}

void log_store::apply(disk_write write) {
    if (write.state)
        current_.state = *write.state;
    if (write.snapshot)
        current_.snapshot = std::move(*write.snapshot);
    auto& entries = current_.entries;
    if (write.truncate_from)
        std::erase_if(entries, [&](log_entry const& e) { return e.index >= *write.truncate_from; });
    // A batch that is appended again after a failure replaces its earlier entries.
    if (!write.entries.empty())
        std::erase_if(entries,
                      [&](log_entry const& e) { return e.index >= write.entries.front().index; });
    for (log_entry& entry : write.entries)
        entries.push_back(std::move(entry));
    std::erase_if(entries, [&](log_entry const& e) { return e.index <= current_.snapshot.index; });
}

} // namespace toucanusher
