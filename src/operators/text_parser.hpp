/// Parses protobuf text format and reports all syntax faults at once. The library's parser stops at
/// the first fault; therefore the faulty field is overwritten with spaces, which keeps all places,
/// and the text is parsed again.
#pragma once

#include <google/protobuf/message.h>
#include <google/protobuf/text_format.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "operators/file.hpp"

namespace micaroad::operators {

/// Fills `message` with the fields that can be read, and `places` with their places. Returns the
/// faults, which give `name` as their file.
[[nodiscard]] std::vector<Fault> parse_text(
    std::string text, const std::string& name, google::protobuf::Message& message,
    std::unique_ptr<google::protobuf::TextFormat::ParseInfoTree>& places);

/// Returns the member of `known` that is nearest to `word` by edit distance; empty if none is near
/// enough.
[[nodiscard]] std::string nearest(std::string_view word, const std::vector<std::string>& known);

}  // namespace micaroad::operators
