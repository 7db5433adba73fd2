// The version that the programs print.
#pragma once

namespace toucanusher {

inline constexpr char const* version_text = "0.1.0";

} // namespace toucanusher
