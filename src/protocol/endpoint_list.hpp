/// Parses discovery's endpoint list (PROTOCOL.md, "Discovery"): turns the bytes of a response's
/// body into one EndpointListMessage per JSON object. Lists are large, so their text is never held
/// as a whole. Uses no sockets, threads or clocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "micaroad/planner.hpp"
#include "protocol/endpoint_entry.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::protocol {

/// A list, either complete or only changes, with discovery's version number.
struct EndpointListMessage {
    std::int64_t version = 0;
    event::EndpointListUpdate list;  ///< sorted by endpoint, each once, from its last entry
    std::map<ServerId, std::string> addresses;      ///< for health checks
    std::map<ServerId, EndpointRejection> dropped;  ///< rejected entries, up to kMaxDropped
};

/// How a body is split into objects.
enum class EndpointListFraming {
    line,      ///< one object per line, as in the response to a watch
    document,  ///< an object may span lines, as in the response to a fetch
};

/// Why a body cannot be parsed any further.
enum class EndpointListError { none, malformed, too_long };

/// Parses a body that is fed in pieces of any size. Holds the text of one entry at a time, never
/// that of a list. Adds zones and kinds that the deployment does not name to `names`, which must
/// outlive the parser. Time points count from the Unix epoch. Not synchronized: if parsers share
/// `names`, the caller must guard it.
class EndpointListParser {
 public:
    /// Minimum number of bytes that an entry counts against the limit, as a parsed entry takes
    /// memory however short its text is.
    static constexpr std::size_t kMinEntryBytes = 128;

    /// `max_bytes` limits one object, and is checked as its text arrives; an entry counts at least
    /// kMinEntryBytes.
    EndpointListParser(SymbolTable& names, EndpointListFraming framing, std::size_t max_bytes)
        : names_(names), framing_(framing), max_bytes_(max_bytes) {}

    /// Calls on_list(std::optional<EndpointListMessage>) with the list of each object, and with
    /// std::nullopt for each empty line. After an error, the body cannot be parsed any further.
    template <class OnList>
    EndpointListError feed(std::string_view bytes, OnList on_list) {
        for (const char character : bytes) {
            const bool readable = ends_object(character) ? end_object(on_list) : add(character);
            if (!readable) {
                return EndpointListError::malformed;
            }
            if (size_ > max_bytes_) {
                return EndpointListError::too_long;
            }
        }
        return EndpointListError::none;
    }
    /// Ends the body, and with it an object whose line has not ended. Calls on_list like feed().
    template <class OnList>
    [[nodiscard]] EndpointListError finish(OnList on_list) {
        const bool readable = size_ == 0 || end_object(on_list);
        return readable ? EndpointListError::none : EndpointListError::malformed;
    }
    /// Size of the unfinished object in bytes, as it counts against the limit.
    [[nodiscard]] std::size_t size() const { return size_; }

 private:
    // The parser's position in the JSON text:
    //
    //     outside --'"'--> string --'\'--> escape
    //        ^              |  ^             |
    //        '-----'"'------'  '--any other--'
    enum class JsonState { outside, string, escape };

    template <class OnList>
    bool end_object(OnList on_list) {
        const bool blank = is_blank();
        std::optional<EndpointListMessage> list;
        if (!blank) {
            list = take_list();
        }
        const bool readable = blank || list;
        reset();
        if (readable) {
            on_list(std::move(list));
        }
        return readable;
    }
    [[nodiscard]] bool ends_object(char character) const {
        return character == '\n' && (framing_ == EndpointListFraming::line || depth_ <= 0);
    }
    [[nodiscard]] bool is_blank() const;
    // Returns false if an entry ends here that is not a JSON object.
    [[nodiscard]] bool add(char character);
    void track(char character);
    [[nodiscard]] bool opens_servers() const;
    [[nodiscard]] bool take_entry();
    void add_endpoint(const EndpointEntry& entry, EndpointPhase phase);
    void drop_entry(const EndpointEntry& entry, EndpointRejection rejection);
    // Absent if the object is not a list.
    [[nodiscard]] std::optional<EndpointListMessage> take_list();
    void reset();

    SymbolTable& names_;
    const EndpointListFraming framing_;
    const std::size_t max_bytes_;
    std::string envelope_;  // the object's text, with `{}` in place of each entry
    std::string entry_;     // text of the unfinished entry
    std::size_t size_ = 0;
    int depth_ = 0;  // open brackets
    JsonState json_state_ = JsonState::outside;
    bool in_servers_ = false;
    EndpointListMessage message_;
};

/// Parses lists that are available as text, as in a start file. Zones and kinds that the deployment
/// does not name keep their numbers from list to list. Not synchronized.
class EndpointListReader {
 public:
    explicit EndpointListReader(SymbolTable names) : names_(std::move(names)) {}
    /// Returns the list in `json`; absent if `json` is not exactly one list.
    [[nodiscard]] std::optional<EndpointListMessage> read(std::string_view json);

 private:
    SymbolTable names_;
};

}  // namespace micaroad::protocol
