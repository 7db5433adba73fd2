// Errors found while validating input, with their locations, collected so that they are reported
// together.
#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace toucanusher {

// Location of an error. `line` is 1-based, or 0 if the source has no lines.
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
    // Formats each finding as one line: "source:line: key: message".
    [[nodiscard]] std::string to_string() const;
    // Returns OK if there are no findings, else InvalidArgument with the text of to_string().
    [[nodiscard]] absl::Status to_status() const;

  private:
    std::vector<finding> items_;
};

// Returns the candidate with the smallest edit distance to `name`, or an empty string if none is
// within a distance of 3.
std::string nearest_name(std::string const& name, std::vector<std::string> const& candidates);

} // namespace toucanusher
