// A temporary folder for a test.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <string>

namespace toucanusher::tests {

// Empty at first; its destructor removes it.
struct scratch_folder {
    std::string path =
        std::filesystem::temp_directory_path() / ("toucanusher-test-" + std::to_string(::getpid()));
    scratch_folder() { std::filesystem::remove_all(path); }
    ~scratch_folder() { std::filesystem::remove_all(path); }
    scratch_folder(scratch_folder const&) = delete;
    scratch_folder& operator=(scratch_folder const&) = delete;
};

} // namespace toucanusher::tests
