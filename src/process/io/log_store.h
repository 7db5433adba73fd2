// Durable storage of the replicated log.
//
// The log is one file of checksummed batches of disk_write records; the newest snapshot has its own
// file. An incomplete batch at the end of the log was never acknowledged and is truncated. Damage
// before the end means that acknowledged writes are lost, so the store refuses to open.
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
    // Removes all files in the folder. Only for a damaged store that no other host relies on.
    static absl::Status discard(std::string const& folder);
    ~log_store();
    log_store(log_store const&) = delete;
    log_store& operator=(log_store const&) = delete;

    // Returns the log as it is stored on disk.
    [[nodiscard]] durable_log const& contents() const { return current_; }
    [[nodiscard]] bool was_empty() const { return was_empty_; }
    // Bytes of an incomplete batch that were cut off the log when it was opened.
    [[nodiscard]] std::uint64_t truncated_bytes() const { return truncated_bytes_; }

    // Reloads the log from disk after a failed append. The failed writes can then be appended
    // again.
    absl::Status recover();
    // Makes all the writes durable. On failure the store is unusable until recover(), because the
    // contents of the disk are unknown after a failed sync.
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
    // Size of the log after its last rewrite; 0 if a snapshot was written since.
    std::uint64_t rewritten_bytes_ = 0;
    durable_log current_; // in-memory copy of the stored log, used to rewrite it
};

// Returns the body framed as a record: length, checksum, body.
std::string frame_record(std::string const& body);

} // namespace toucanusher
