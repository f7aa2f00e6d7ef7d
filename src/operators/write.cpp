#include <google/protobuf/text_format.h>

#include <sstream>

#include "operators/file.hpp"
#include "operators/writers.hpp"

namespace micaroad::operators {
namespace {

Installation to_message(const routing::Plan& plan) {
    Installation file;
    for (const routing::Listener& listener : plan.listeners) {
        write_listener(listener, *file.add_listener());
    }
    for (const routing::Pool& pool : plan.pools) {
        write_pool(pool, *file.add_pool());
    }
    if (plan.service != routing::Service{}) {
        write_planner(plan.service, *file.mutable_planner());
    }
    if (!plan.recording.path.empty()) {
        write_recording(plan.recording, *file.mutable_recording());
    }
    return file;
}

std::string to_comment(std::string_view heading) {
    std::string comment;
    std::istringstream lines{std::string(heading)};
    for (std::string line; std::getline(lines, line);) {
        comment += line.empty() ? "#\n" : "# " + line + "\n";
    }
    return comment;
}

}  // namespace

std::string write_text(const routing::Plan& plan, std::string_view heading) {
    std::string body;
    google::protobuf::TextFormat::Printer printer;
    printer.SetUseUtf8StringEscaping(true);
    printer.PrintToString(to_message(plan), &body);
    return to_comment(heading) + body;
}

}  // namespace micaroad::operators
