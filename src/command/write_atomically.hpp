/// Writes a file so that no reader ever sees it incomplete.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace micaroad::command {

/// A file could not be written; an existing file is unchanged.
struct WriteError {
    enum class Step { write, sync, rename };
    std::string path;
    Step step = Step::write;
    int error_number = 0;  ///< errno of the step
};

/// Formats the error as a message with the path and the system's reason.
[[nodiscard]] std::string describe(const WriteError& error);

/// Writes `text` to a temporary file in the same directory, syncs it to disk, and renames it to
/// `path`. An existing file's permissions are kept, but not its owner.
[[nodiscard]] tl::expected<void, WriteError> write_atomically(const std::string& path,
                                                              const std::string& text);

}  // namespace micaroad::command
