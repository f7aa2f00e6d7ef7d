/// The program's version, as `--version` and recordings have it.
#pragma once

namespace micaroad {

inline constexpr const char* kVersion = "0.5.0";

}  // namespace micaroad
