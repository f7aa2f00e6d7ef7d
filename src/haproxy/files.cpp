#include "haproxy/files.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace micaroad::haproxy {
namespace {

namespace fs = std::filesystem;

std::vector<std::string> files_of(const std::string& name) {
    std::error_code failed;
    if (!fs::is_directory(name, failed)) {
        return {name};
    }
    std::vector<std::string> files;
    for (const auto& entry : fs::directory_iterator(name, failed)) {
        const std::string file = entry.path().filename().string();
        if (file.ends_with(".cfg") && !file.starts_with('.') && entry.is_regular_file(failed)) {
            files.push_back(entry.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

}  // namespace

Tree read_files(const std::vector<std::string>& names, const Environment& environment) {
    TreeBuilder builder(environment);
    std::vector<Fault> unread;
    for (const std::string& name : names) {
        const auto files = files_of(name);
        if (files.empty()) {
            unread.push_back({name, 0, 0, "no file in it ends in .cfg"});
        }
        for (const std::string& file : files) {
            std::error_code failed;
            const auto size = fs::file_size(file, failed);
            std::ifstream in(file, std::ios::binary);
            std::ostringstream text;
            if (failed || size > kMaxFileBytes || !in || !(text << in.rdbuf()).good()) {
                // An empty file gives nothing to read, and is sound.
                if (!failed && size == 0 && in) {
                    continue;
                }
                unread.push_back(
                    {file, 0, 0,
                     !failed && size > kMaxFileBytes ? "over 64 MiB" : "can't be read"});
                continue;
            }
            builder.add(file, text.str());
        }
    }
    Tree tree = builder.finish();
    tree.faults.insert(tree.faults.begin(), unread.begin(), unread.end());
    return tree;
}

}  // namespace micaroad::haproxy
