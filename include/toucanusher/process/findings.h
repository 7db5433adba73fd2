// Faults found while checking input, each with its place, collected so that they can be reported
// together.
#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace toucanusher {

// Where a fault was found. `line` is 1-based, 0 if the source has no lines.
struct source_location {
    std::string source;
    int line = 0;
    std::string key;
};

struct finding {
    source_location location;
    std::string message;
};

class findings {
  public:
    void add(source_location location, std::string message);
    void add_all(findings const& other);
    [[nodiscard]] bool empty() const { return items_.empty(); }
    [[nodiscard]] std::vector<finding> const& items() const { return items_; }
    // One line a finding: "source:line: key: message".
    [[nodiscard]] std::string to_string() const;
    // OK if nothing was found, else InvalidArgument with all the lines.
    [[nodiscard]] absl::Status to_status() const;

  private:
    std::vector<finding> items_;
};

// The candidate with the smallest edit distance to `name`, or empty if none is near.
std::string nearest_name(std::string const& name, std::vector<std::string> const& candidates);

} // namespace toucanusher
