/// Protobuf text format with every syntax fault at once. The library's parser stops at the first
/// one, so the faulty field is blanked, which moves no place, and the text is parsed again.
#pragma once

#include <google/protobuf/message.h>
#include <google/protobuf/text_format.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "operators/file.hpp"

namespace micaroad::operators {

/// Fills `message` with what can be read, and `places` with where its fields stand. Returns the
/// faults, which have `name` as their file.
[[nodiscard]] std::vector<Fault> parse_text(
    std::string text, const std::string& name, google::protobuf::Message& message,
    std::unique_ptr<google::protobuf::TextFormat::ParseInfoTree>& places);

/// The member of `known` that `word` was likely meant to be, by edit distance; empty if none is
/// near.
[[nodiscard]] std::string nearest(std::string_view word, const std::vector<std::string>& known);

}  // namespace micaroad::operators
