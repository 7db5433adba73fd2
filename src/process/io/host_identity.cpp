#include "src/process/io/host_identity.h"

#include <fstream>

#include <absl/strings/str_cat.h>

#include "src/process/io/durable_file.h"

namespace toucanusher {

namespace {

constexpr char const* file_name = "identity";
constexpr std::uint32_t min_generated_id = 1U << 16U; // lower ids are reserved for settings files

} // namespace

absl::StatusOr<host_id> load_host_identity(std::string const& folder, random_source const& random) {
    std::ifstream input(absl::StrCat(folder, "/", file_name));
    std::uint32_t stored = 0;
    if (input >> stored && stored >= min_generated_id)
        return host_id{stored};
    std::uint32_t generated = 0;
    while (generated < min_generated_id)
        generated = static_cast<std::uint32_t>(random());
    if (auto const status = replace_file(folder, file_name, absl::StrCat(generated, "\n"));
        !status.ok())
        return status;
    return host_id{generated};
}

} // namespace toucanusher
