// The disk part of the replicated log.
//
// One file of checksummed records, each an atomic disk_write, plus the newest snapshot in a file
// of its own. A record that was cut off at the end of the file was never promised to anybody and
// is dropped; damage before the end means lost promises, so the store refuses to open.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "toucanusher/process/log_types.h"

namespace toucanusher {

class log_store {
  public:
    // Creates the folder if it is missing. DataLoss on damage, with file and offset.
    static absl::StatusOr<std::unique_ptr<log_store>> open(std::string folder);
    // Removes what the folder holds, when it is damaged and nobody relies on it any more.
    static absl::Status discard(std::string const& folder);
    ~log_store();
    log_store(log_store const&) = delete;
    log_store& operator=(log_store const&) = delete;

    // What the disk holds.
    [[nodiscard]] durable_log const& contents() const { return current_; }
    [[nodiscard]] bool was_empty() const { return was_empty_; }
    // Bytes of an unfinished record that were dropped while opening.
    [[nodiscard]] std::uint64_t truncated_bytes() const { return truncated_bytes_; }

    // Reads the disk again after a failed append; the failed writes can then be appended anew.
    absl::Status recover();
    // Makes all the writes durable, or fails and leaves the store unusable until recover(): after
    // a failed sync the disk's contents are unknown.
    absl::Status append(std::vector<disk_write> const& writes);

  private:
    explicit log_store(std::string folder);

    absl::Status load();
    absl::Status load_snapshot();
    absl::Status load_records();
    absl::Status flush(std::string& bytes);
    absl::Status write_snapshot(log_snapshot const& snapshot);
    absl::Status rewrite_log();
    void apply(disk_write write);

    std::string folder_;
    int log_file_ = -1;
    bool failed_ = false;
    bool was_empty_ = true;
    std::uint64_t truncated_bytes_ = 0;
    std::uint64_t log_bytes_ = 0;
    durable_log current_; // mirrors the disk, so that the log can be rewritten
};

// Appends a record's frame: length, checksum, body.
std::string frame_record(std::string const& body);

} // namespace toucanusher
