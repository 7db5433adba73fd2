#include "src/process/io/host_identity.h"

#include <fstream>

#include <absl/strings/str_cat.h>

#include "src/process/io/durable_file.h"

namespace toucanusher {

namespace {

constexpr char const* file_name = "identity";
constexpr std::uint32_t lowest_made = 1U << 16U; // lower ones are given in settings files

} // namespace

absl::StatusOr<host_id> load_host_identity(std::string const& folder, random_source const& random) {
    std::ifstream input(absl::StrCat(folder, "/", file_name));
    std::uint32_t known = 0;
    if (input >> known && known >= lowest_made)
        return host_id{known};
    std::uint32_t made = 0;
    while (made < lowest_made)
        made = static_cast<std::uint32_t>(random());
    if (auto const status = replace_file(folder, file_name, absl::StrCat(made, "\n")); !status.ok())
        return status;
    return host_id{made};
}

} // namespace toucanusher
