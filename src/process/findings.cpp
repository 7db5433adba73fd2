#include "toucanusher/process/findings.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace toucanusher {

namespace {

constexpr std::size_t max_near_distance = 3;

std::size_t edit_distance(std::string const& a, std::string const& b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            std::size_t const substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
        }
    }
    return row.back();
}

std::string format(finding const& item) {
    std::string line = item.location.source;
    if (item.location.line > 0)
        absl::StrAppend(&line, ":", item.location.line);
    if (!item.location.key.empty())
        absl::StrAppend(&line, ": ", item.location.key);
    return absl::StrCat(line, ": ", item.message);
}

} // namespace

void findings::add(source_location location, std::string message) {
    items_.push_back({std::move(location), std::move(message)});
}

void findings::add_all(findings const& other) {
    items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string findings::to_string() const {
    return absl::StrJoin(items_, "\n", [](std::string* out, finding const& item) {
        absl::StrAppend(out, format(item));
    });
}

absl::Status findings::to_status() const {
    return items_.empty() ? absl::OkStatus() : absl::InvalidArgumentError(to_string());
}

std::string nearest_name(std::string const& name, std::vector<std::string> const& candidates) {
    std::string best;
    std::size_t best_distance = max_near_distance + 1;
    for (auto const& candidate : candidates) {
        std::size_t const distance = edit_distance(name, candidate);
        if (distance < best_distance) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace toucanusher
