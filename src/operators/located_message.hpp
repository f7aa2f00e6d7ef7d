/// A message of the operator's file together with its place in the text, and checks that many
/// fields share. For the readers of this module only.
#pragma once

#include <google/protobuf/message.h>
#include <google/protobuf/text_format.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "micaroad/types.hpp"
#include "operators/file.hpp"

namespace micaroad::operators {

/// Adds faults with the place of the invalid field. It refers to the message, its places and the
/// list of faults, which must outlive it; copies refer to the same objects.
class LocatedMessage {
 public:
    using Places = google::protobuf::TextFormat::ParseInfoTree;

    /// `place` is that of the message itself. If `places` is null, all faults are reported there.
    LocatedMessage(const google::protobuf::Message& message, const Places* places, Fault place,
                   std::vector<Fault>& faults);

    /// The message in a field; for a repeated field `index` counts from 0.
    [[nodiscard]] LocatedMessage nested(const char* field, const google::protobuf::Message& message,
                                        int index = kNotRepeated) const;

    /// Adds a fault about the value of a field.
    void add_fault(const char* field, std::string value, std::string message,
                   std::string_view allowed = "", int index = kNotRepeated) const;

    /// Whether all required fields are set; adds a fault for each that is not.
    [[nodiscard]] bool check_required() const;
    /// Checks that a name is valid, and returns it.
    [[nodiscard]] std::string check_name(const char* field, const std::string& value) const;
    /// Parses a duration over 0; returns 0 if it is invalid.
    [[nodiscard]] Duration read_duration(const char* field, const std::string& value) const;
    /// Parses a duration of 0 or more; returns 0 if it is invalid.
    [[nodiscard]] Duration read_duration_or_zero(const char* field, const std::string& value) const;
    /// Checks a number against its inclusive bounds; returns it clamped to them.
    [[nodiscard]] int read_number(const char* field, std::uint32_t value, std::uint32_t min,
                                  std::uint32_t max) const;

 private:
    static constexpr int kNotRepeated = -1;

    [[nodiscard]] Fault place_of(const char* field, int index) const;

    const google::protobuf::Message* message_;
    const Places* places_;
    Fault place_;
    std::vector<Fault>* faults_;
};

/// Maximum count of connections or requests.
constexpr std::uint32_t kMaxConnections = 2'147'483'647;

}  // namespace micaroad::operators
