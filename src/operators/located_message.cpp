#include "operators/located_message.hpp"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "operators/duration.hpp"

namespace micaroad::operators {
namespace {

namespace pb = google::protobuf;

constexpr std::size_t kMaxNameLength = 128;
constexpr std::string_view kNameAllowed = "up to 128 letters, digits and ._-:";

bool is_name_character(char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') || character == '.' || character == '_' ||
           character == '-' || character == ':';
}

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= kMaxNameLength &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

}  // namespace

LocatedMessage::LocatedMessage(const pb::Message& message, const Places* places, Fault place,
                               std::vector<Fault>& faults)
    : message_(&message), places_(places), place_(std::move(place)), faults_(&faults) {}

LocatedMessage LocatedMessage::nested(const char* field, const pb::Message& message,
                                      int index) const {
    const pb::FieldDescriptor* descriptor = message_->GetDescriptor()->FindFieldByName(field);
    const Places* places = places_ ? places_->GetTreeForNested(descriptor, index) : nullptr;
    return {message, places, place_of(field, index), *faults_};
}

void LocatedMessage::add_fault(const char* field, std::string value, std::string message,
                               std::string_view allowed, int index) const {
    Fault fault = place_of(field, index);
    fault.value = std::move(value);
    fault.message = std::move(message);
    fault.allowed = allowed;
    faults_->push_back(std::move(fault));
}

bool LocatedMessage::check_required() const {
    const pb::Descriptor* type = message_->GetDescriptor();
    bool complete = true;
    for (int i = 0; i < type->field_count(); ++i) {
        const pb::FieldDescriptor* field = type->field(i);
        if (!field->is_required() || message_->GetReflection()->HasField(*message_, field)) {
            continue;
        }
        Fault fault = place_;
        fault.value = type->name();
        fault.message = fmt::format("required field '{}' is missing", field->name());
        faults_->push_back(std::move(fault));
        complete = false;
    }
    return complete;
}

std::string LocatedMessage::check_name(const char* field, const std::string& value) const {
    if (!is_name(value)) {
        add_fault(field, value, "invalid name", kNameAllowed);
    }
    return value;
}

Duration LocatedMessage::read_duration(const char* field, const std::string& value) const {
    const std::optional<Duration> duration = parse_duration(value);
    if (duration && *duration == Duration{}) {
        add_fault(field, value, "zero duration", "more than 0");
        return Duration{};
    }
    return read_duration_or_zero(field, value);
}

Duration LocatedMessage::read_duration_or_zero(const char* field, const std::string& value) const {
    const std::optional<Duration> duration = parse_duration(value);
    if (!duration) {
        add_fault(field, value, "invalid duration", kDurationAllowed);
    }
    return duration.value_or(Duration{});
}

int LocatedMessage::read_number(const char* field, std::uint32_t value, std::uint32_t min,
                                std::uint32_t max) const {
    if (value < min || value > max) {
        add_fault(field, std::to_string(value), "out of range", fmt::format("{} to {}", min, max));
    }
    return static_cast<int>(std::clamp(value, min, max));
}

Fault LocatedMessage::place_of(const char* field, int index) const {
    Fault fault = place_;
    const pb::FieldDescriptor* descriptor = message_->GetDescriptor()->FindFieldByName(field);
    const bool is_element = index != kNotRepeated;
    if (places_ == nullptr || descriptor->is_repeated() != is_element) {
        return fault;
    }
    const pb::TextFormat::ParseLocation location = places_->GetLocation(descriptor, index);
    if (location.line >= 0) {
        fault.line = location.line + 1;
        fault.column = location.column + 1;
    }
    return fault;
}

}  // namespace micaroad::operators
