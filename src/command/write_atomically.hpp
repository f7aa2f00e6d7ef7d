/// Writing a file so that nobody ever reads half of it.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace micaroad::command {

/// A file that could not be written; what stood there is unchanged.
struct WriteError {
    enum class Step { write, sync, rename };
    std::string path;
    Step step = Step::write;
    int error_number = 0;  ///< errno of the step
};

/// The error in words, with the path and the system's reason.
[[nodiscard]] std::string describe(const WriteError& error);

/// Writes `text` to a file beside `path`, waits until it is on the disk, and renames it to `path`.
/// An existing file keeps its permissions, not its owner.
[[nodiscard]] tl::expected<void, WriteError> write_atomically(const std::string& path,
                                                              const std::string& text);

}  // namespace micaroad::command
