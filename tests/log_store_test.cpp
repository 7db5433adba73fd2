// Tests the log's storage on a disk that fills up at any point of a write: entries, a snapshot, or
// the rewrite of a long log.
#include "src/process/io/log_store.h"

#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tests/scratch_folder.h"

namespace toucanusher::tests {

namespace {

// Lets files grow up to a size only, as on a full disk, while it exists.
class full_disk {
  public:
    explicit full_disk(std::uintmax_t largest_file) {
        std::signal(SIGXFSZ, SIG_IGN); // writes beyond the limit then fail with an error
        getrlimit(RLIMIT_FSIZE, &before_);
        rlimit limited = before_;
        limited.rlim_cur = largest_file;
        setrlimit(RLIMIT_FSIZE, &limited);
    }
    ~full_disk() { setrlimit(RLIMIT_FSIZE, &before_); }
    full_disk(full_disk const&) = delete;
    full_disk& operator=(full_disk const&) = delete;

  private:
    rlimit before_{};
};

disk_write make_entries(log_index first, log_index last, std::size_t bytes) {
    disk_write write;
    write.state = hard_state{3, host_id{1}};
    for (log_index index = first; index <= last; ++index)
        write.entries.push_back(
            {3,
             index,
             entry_kind::command,
             std::to_string(index) + std::string(bytes, static_cast<char>('a' + index % 26)),
             {}});
    return write;
}

disk_write make_snapshot(log_index index, std::size_t bytes) {
    disk_write write;
    write.snapshot = log_snapshot{index, 3, {{host_id{1}}, {}}, std::string(bytes, 's')};
    return write;
}

struct step {
    char const* what;
    std::vector<disk_write> writes;
};

std::vector<step> all_steps() {
    disk_write truncation = make_entries(9, 10, 300);
    truncation.truncate_from = 9;
    return {{"entries", {make_entries(1, 5, 200), make_entries(6, 12, 200)}},
            {"entries that replace others", {truncation}},
            {"a snapshot", {make_snapshot(7, 5000)}},
            {"entries around a snapshot",
             {make_entries(11, 12, 100), make_snapshot(11, 6000), make_entries(13, 14, 100)}},
            {"a snapshot beyond the log", {make_snapshot(40, 7000), make_entries(41, 42, 100)}}};
}

void check_equal(durable_log const& actual, durable_log const& expected) {
    CHECK(actual.state == expected.state);
    CHECK(actual.snapshot.index == expected.snapshot.index);
    CHECK(actual.snapshot.state == expected.snapshot.state);
    CHECK(actual.entries == expected.entries);
}

// Returns the contents after each step on a disk that has room.
std::vector<durable_log> reference_contents() {
    scratch_folder const folder;
    auto store = log_store::open(folder.path);
    std::vector<durable_log> contents;
    for (step const& item : all_steps()) {
        REQUIRE((*store)->append(item.writes).ok());
        contents.push_back((*store)->contents());
    }
    return contents;
}

// Appends the writes; after a failure reads the disk again first, as the disk duty does.
absl::Status append_with_recovery(log_store& store, std::vector<disk_write> const& writes,
                                  int attempts) {
    absl::Status status = store.append(writes);
    for (int i = 1; i < attempts && !status.ok(); ++i) {
        status = store.recover();
        if (status.ok())
            status = store.append(writes);
    }
    return status;
}

std::uintmax_t log_size(scratch_folder const& folder) {
    return std::filesystem::file_size(folder.path + "/log");
}

// A rewrite replaces the file by another one.
ino_t log_inode(scratch_folder const& folder) {
    struct stat status {};
    REQUIRE(::stat((folder.path + "/log").c_str(), &status) == 0);
    return status.st_ino;
}

} // namespace

TEST_CASE("a store loses nothing when the disk fills up at any point of a write") {
    std::vector<durable_log> const expected = reference_contents();
    std::vector<step> const steps = all_steps();
    for (std::size_t full_at = 0; full_at < steps.size(); ++full_at)
        for (std::uintmax_t room = 0; room < 8000; room += 97) {
            CAPTURE(steps[full_at].what);
            CAPTURE(room);
            scratch_folder const folder;
            auto store = log_store::open(folder.path);
            REQUIRE(store.ok());
            for (std::size_t i = 0; i < steps.size(); ++i) {
                bool appended = false;
                if (i == full_at) {
                    full_disk const disk(room);
                    appended = append_with_recovery(**store, steps[i].writes, 4).ok();
                }
                if (!appended)
                    REQUIRE(append_with_recovery(**store, steps[i].writes, 2).ok());
                check_equal((*store)->contents(), expected[i]);
                store->reset();
                store = log_store::open(folder.path);
                REQUIRE(store.ok());
                check_equal((*store)->contents(), expected[i]);
            }
        }
}

TEST_CASE("a long log that cannot shrink is not rewritten with every append") {
    scratch_folder const folder;
    auto store = log_store::open(folder.path);
    for (log_index index = 1; index <= 40; ++index)
        REQUIRE((*store)->append({make_entries(index, index, 300'000)}).ok());
    int rewrites = 0;
    for (log_index index = 41; index <= 140; ++index) {
        ino_t const before = log_inode(folder);
        REQUIRE((*store)->append({make_entries(index, index, 10)}).ok());
        rewrites += log_inode(folder) == before ? 0 : 1;
    }
    CHECK(rewrites <= 1);
}

TEST_CASE("a log is rewritten once a snapshot has replaced most of it") {
    scratch_folder const folder;
    auto store = log_store::open(folder.path);
    for (log_index index = 1; index <= 40; ++index)
        REQUIRE((*store)->append({make_entries(index, index, 300'000)}).ok());
    REQUIRE((*store)->append({make_snapshot(39, 1000)}).ok());
    REQUIRE((*store)->append({make_entries(41, 41, 10)}).ok());
    CHECK(log_size(folder) < 1'000'000);
}

} // namespace toucanusher::tests
