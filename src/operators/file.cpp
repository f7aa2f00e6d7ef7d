#include "operators/file.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <tuple>

#include "operators/readers.hpp"
#include "operators/text_parser.hpp"

namespace micaroad::operators {
namespace {

void read_installation(const Installation& file, const LocatedMessage& top, ReadResult& result) {
    FileState state{result, {}, {}, {}, {}};
    for (const Pool& pool : file.pool()) {
        state.pool_names.insert(pool.name());
    }
    for (int i = 0; i < file.pool_size(); ++i) {
        read_pool(file.pool(i), top.nested("pool", file.pool(i), i), state);
    }
    for (int i = 0; i < file.listener_size(); ++i) {
        read_listener(file.listener(i), top.nested("listener", file.listener(i), i), state);
    }
    if (file.has_planner()) {
        read_planner(file.planner(), top.nested("planner", file.planner()), result.plan.service);
    }
    if (file.has_recording()) {
        read_recording(file.recording(), top.nested("recording", file.recording()),
                       result.plan.recording);
    }
    state.health_chains.check();
}

// Sorts faults by place, removes duplicates and keeps at most kMaxFaults.
void tidy(std::vector<Fault>& faults) {
    const auto before = [](const Fault& one, const Fault& other) {
        return std::tie(one.line, one.column) < std::tie(other.line, other.column);
    };
    std::stable_sort(faults.begin(), faults.end(), before);
    faults.erase(std::unique(faults.begin(), faults.end()), faults.end());
    if (faults.size() > kMaxFaults) {
        faults.resize(kMaxFaults);
    }
}

ReadResult unreadable_file(const std::string& path, const char* reason) {
    ReadResult result;
    result.faults.push_back({path, 0, 0, "", reason, ""});
    return result;
}

}  // namespace

std::string Fault::text() const {
    std::string text =
        line > 0 ? fmt::format("{}:{}:{}: ", file, line, column) : fmt::format("{}: ", file);
    if (!value.empty()) {
        text += fmt::format("'{}': ", value);
    }
    text += message;
    if (!allowed.empty()) {
        text += fmt::format("; allowed: {}", allowed);
    }
    return text;
}

ReadResult read_text(std::string_view text, const std::string& name) {
    ReadResult result;
    Installation file;
    std::unique_ptr<LocatedMessage::Places> places;
    result.faults = parse_text(std::string(text), name, file, places);
    const Fault file_begin{name, 1, 1, "", "", ""};
    read_installation(file, {file, places.get(), file_begin, result.faults}, result);
    tidy(result.faults);
    return result;
}

ReadResult read_file(const std::string& path) {
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
        return unreadable_file(path, "can't be opened");
    }
    std::ostringstream contents;
    contents << file.rdbuf();
    const std::string text = std::move(contents).str();
    if (file.bad() || text.size() > kMaxFileBytes) {
        return unreadable_file(path, "can't be read, or is larger than 64 MiB");
    }
    return read_text(text, path);
}

}  // namespace micaroad::operators
