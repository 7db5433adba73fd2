// Reads an INI file and records the line of every key, so that errors can be reported with file and
// line.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "toucanusher/process/endpoint.h"
#include "toucanusher/process/findings.h"

namespace toucanusher {

struct ini_value {
    std::string text;
    int line = 0;
};

class ini_file {
  public:
    // NotFound if the file cannot be read. Syntax errors are added to `found`.
    static absl::StatusOr<ini_file> load(std::string const& path, findings& found);
    static ini_file parse(std::string const& source, std::string const& text, findings& found);

    [[nodiscard]] std::string const& source() const { return source_; }
    [[nodiscard]] std::vector<std::string> sections() const;
    [[nodiscard]] std::map<std::string, ini_value> const& section(std::string const& name) const;
    [[nodiscard]] source_location where(std::string const& section, std::string const& key) const;

  private:
    std::string source_;
    std::map<std::string, std::map<std::string, ini_value>> sections_;
    std::map<std::string, int> section_lines_;
};

// Reads typed values of one section and collects errors. Keys that were never read are unknown;
// report_unknown_keys() reports them with the nearest known name.
class section_reader {
  public:
    section_reader(ini_file const& file, std::string section, findings& found);

    std::string read_text(std::string const& key, std::optional<std::string> fallback);
    std::uint32_t read_number(std::string const& key, std::uint32_t low, std::uint32_t high,
                              std::optional<std::uint32_t> fallback);
    // Reads a positive number that may have a fraction.
    double read_decimal(std::string const& key, double high, std::optional<double> fallback);
    std::chrono::milliseconds read_milliseconds(std::string const& key, std::uint32_t low,
                                                std::uint32_t high,
                                                std::optional<std::chrono::milliseconds> fallback);
    endpoint read_address(std::string const& key, std::optional<endpoint> fallback);
    std::vector<std::string> read_list(std::string const& key);
    void add_error(std::string const& key, std::string const& message);
    void report_unknown_keys();

  private:
    std::optional<std::string> read_value(std::string const& key, bool required);

    ini_file const& file_;
    std::string section_;
    findings& found_;
    std::set<std::string> read_keys_;
};

} // namespace toucanusher
