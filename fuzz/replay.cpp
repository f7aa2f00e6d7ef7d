// Runs the fuzz target on the given files and on all files below the given directories. CI runs it
// on the corpus.
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
    namespace fs = std::filesystem;
    std::vector<fs::path> files;
    for (int i = 1; i < argc; ++i) {
        if (!fs::is_directory(argv[i])) {
            files.emplace_back(argv[i]);
        } else {
            for (const auto& entry : fs::recursive_directory_iterator(argv[i])) {
                if (entry.is_regular_file()) {
                    files.push_back(entry.path());
                }
            }
        }
    }
    for (const auto& file : files) {
        std::ifstream in(file, std::ios::binary);
        const std::vector<char> bytes{std::istreambuf_iterator<char>(in), {}};
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    }
    std::printf("%zu inputs played\n", files.size());
    return files.empty() ? 1 : 0;
}
