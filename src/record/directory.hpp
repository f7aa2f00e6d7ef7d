/// The directory that holds a recording's segments: an interface with the few file operations that
/// recordings need, so that tests can make each of them fail, and its implementation for the file
/// system. Implementations need not be thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace micaroad::record {

class Directory {
 public:
    /// A file opened for appending. The destructor closes it.
    class File {
     public:
        virtual ~File() = default;
        /// Blocks until all bytes are written. Returns false on failure; then some of the bytes may
        /// have been written.
        [[nodiscard]] virtual bool append(std::string_view bytes) = 0;
        /// Blocks until the appended bytes are on the storage device. Returns false on failure.
        [[nodiscard]] virtual bool sync() = 0;
    };

    struct Entry {
        std::string name;
        std::uint64_t bytes = 0;
    };

    virtual ~Directory() = default;

    /// Creates an empty file. Returns null on failure, also if the file already exists.
    [[nodiscard]] virtual std::unique_ptr<File> create(const std::string& name) = 0;
    /// Deletes a file. Returns false on failure, also if there is no such file.
    [[nodiscard]] virtual bool remove(const std::string& name) = 0;
    /// Returns all files in the order of their names; empty on failure.
    [[nodiscard]] virtual std::vector<Entry> list() = 0;
    /// Reads up to `max_bytes` at `offset`. The result is empty at the end of the file, and absent
    /// on failure.
    [[nodiscard]] virtual std::optional<std::string> read(const std::string& name,
                                                          std::uint64_t offset,
                                                          std::size_t max_bytes) = 0;
};

/// Opens a directory of the file system, and creates it if it does not exist. If that fails, all
/// operations on the result fail.
[[nodiscard]] std::unique_ptr<Directory> open_directory(const std::string& path);

}  // namespace micaroad::record
