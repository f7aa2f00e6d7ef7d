#include "haproxy/files.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace micaroad::haproxy {
namespace {

namespace fs = std::filesystem;

// Returns the configuration files of a directory, or the name itself if it is not a directory.
std::vector<std::string> configuration_files(const std::string& name) {
    std::error_code error;
    if (!fs::is_directory(name, error)) {
        return {name};
    }
    std::vector<std::string> files;
    for (const auto& entry : fs::directory_iterator(name, error)) {
        const std::string file = entry.path().filename().string();
        if (file.ends_with(".cfg") && !file.starts_with('.') && entry.is_regular_file(error)) {
            files.push_back(entry.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

}  // namespace

Tree read_files(const std::vector<std::string>& names, const Environment& environment) {
    TreeBuilder builder(environment);
    std::vector<Fault> read_faults;
    for (const std::string& name : names) {
        const auto files = configuration_files(name);
        if (files.empty()) {
            read_faults.push_back({name, 0, 0, "the directory has no .cfg files"});
        }
        for (const std::string& file : files) {
            std::error_code error;
            const auto size = fs::file_size(file, error);
            std::ifstream in(file, std::ios::binary);
            std::ostringstream text;
            if (error || size > kMaxFileBytes || !in || !(text << in.rdbuf()).good()) {
                // Copying an empty file sets the fail bit, but an empty file is valid.
                if (!error && size == 0 && in) {
                    continue;
                }
                read_faults.push_back(
                    {file, 0, 0, !error && size > kMaxFileBytes ? "over 64 MiB" : "can't be read"});
                continue;
            }
            builder.add(file, text.str());
        }
    }
    Tree tree = builder.finish();
    tree.faults.insert(tree.faults.begin(), read_faults.begin(), read_faults.end());
    return tree;
}

}  // namespace micaroad::haproxy
