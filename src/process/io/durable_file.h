// Durable file operations. A full disk is reported as ResourceExhausted, other errors as Internal.
#pragma once

#include <string>

#include <absl/status/status.h>

namespace toucanusher {

// Writes all bytes, without a sync.
absl::Status write_all(int file, std::string const& bytes, std::string const& name);
// Replaces a file atomically: after a power loss it holds the old or the new contents.
absl::Status replace_file(std::string const& folder, std::string const& name,
                          std::string const& bytes);
// Makes the creation, renaming and removal of files in the folder durable.
absl::Status sync_folder(std::string const& folder);
// Returns the error in errno, with the failed operation and the file.
absl::Status io_error(std::string const& what, std::string const& file);

} // namespace toucanusher
