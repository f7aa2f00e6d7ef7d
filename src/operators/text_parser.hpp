// Protobuf text format with every syntax fault at once: the library's parser stops at the first, so
// the faulty field is blanked, which moves no place, and the text is parsed again.
#pragma once

#include <google/protobuf/message.h>
#include <google/protobuf/text_format.h>

#include <memory>
#include <string>
#include <vector>

#include "operators/file.hpp"

namespace micaroad::operators {

// Fills `message` with what can be read, and `places` with where its fields stand.
std::vector<Fault> parse_text(std::string text, const std::string& name,
                              google::protobuf::Message& message,
                              std::unique_ptr<google::protobuf::TextFormat::ParseInfoTree>& places);

// The member of `known` that `word` was likely meant to be; empty: none is near.
std::string nearest(std::string_view word, const std::vector<std::string>& known);

}  // namespace micaroad::operators
