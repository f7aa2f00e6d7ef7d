/// The program's version, as shown by `--version` and stored in recordings.
#pragma once

namespace micaroad {

inline constexpr const char* kVersion = "0.5.0";

}  // namespace micaroad
