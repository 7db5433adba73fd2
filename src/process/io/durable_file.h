// Files that are on disk once a call returns OK. A full disk is ResourceExhausted.
#pragma once

#include <string>

#include <absl/status/status.h>

namespace toucanusher {

absl::Status write_all(int file, std::string const& bytes, std::string const& name);
// Replaces a whole file; after a loss of power it holds the old contents or the new ones.
absl::Status replace_file(std::string const& folder, std::string const& name,
                          std::string const& bytes);
// Makes created, renamed and removed names of the folder durable.
absl::Status sync_folder(std::string const& folder);
// The error of the last system call, with what was tried.
absl::Status io_error(std::string const& what, std::string const& file);

} // namespace toucanusher
