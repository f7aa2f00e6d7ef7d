/// Discovery's endpoint list (PROTOCOL.md, "Discovery"): the bytes of a response's body in, one
/// EndpointListMessage out for each JSON object. Lists are large, so none is held as text. No
/// sockets, threads or clocks.
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

/// A list, complete or changes alone, and discovery's version of it.
struct EndpointListMessage {
    std::int64_t version = 0;
    event::EndpointListUpdate list;  ///< sorted by endpoint, each once, as the last entry gives it
    std::map<ServerId, std::string> addresses;      ///< where to check health
    std::map<ServerId, EndpointRejection> dropped;  ///< entries that can't be used; not all of many
};

/// How a body is split into objects.
enum class EndpointListFraming {
    line,      ///< one object a line, as on a watch
    document,  ///< an object may span lines, as in the response to a fetch
};

/// Why a body can't be read any further.
enum class EndpointListError { none, malformed, too_long };

/// Parses a body fed in any pieces, an entry at a time: the text of one entry is held, never that
/// of a list. Zones and kinds that the deployment did not name are added to `names`, which must
/// outlive the parser; time points count from the Unix epoch. Not synchronized: the caller guards
/// `names` if parsers share it.
class EndpointListParser {
 public:
    /// Bytes that an entry counts at least against the bound: what is kept of it takes memory,
    /// however short its text.
    static constexpr std::size_t kMinEntryBytes = 128;

    /// An object may have `max_bytes`, counted as its text comes; short entries count
    /// kMinEntryBytes.
    EndpointListParser(SymbolTable& names, EndpointListFraming framing, std::size_t max_bytes)
        : names_(names), framing_(framing), max_bytes_(max_bytes) {}

    /// Calls on_list(std::optional<EndpointListMessage>) for each object, and without a list for
    /// each empty line. After an error the body can't be read any further.
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
    /// The body has ended, and with it the last object, if its line has not. Calls on_list as
    /// feed() does.
    template <class OnList>
    [[nodiscard]] EndpointListError finish(OnList on_list) {
        const bool readable = size_ == 0 || end_object(on_list);
        return readable ? EndpointListError::none : EndpointListError::malformed;
    }
    /// Bytes of the unfinished object, as they count against the bound.
    [[nodiscard]] std::size_t size() const { return size_; }

 private:
    // Where in the JSON text the parser is:
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
    // Returns false if an entry that ends here is not JSON.
    [[nodiscard]] bool add(char character);
    void track(char character);
    [[nodiscard]] bool opens_servers() const;
    [[nodiscard]] bool take_entry();
    void add_endpoint(const EndpointEntry& entry, EndpointPhase phase);
    void drop_entry(const EndpointEntry& entry, EndpointRejection rejection);
    // Absent if what has come is no list.
    [[nodiscard]] std::optional<EndpointListMessage> take_list();
    void reset();

    SymbolTable& names_;
    const EndpointListFraming framing_;
    const std::size_t max_bytes_;
    std::string envelope_;  // the object without its entries: `{}` stands for each
    std::string entry_;     // the unfinished entry
    std::size_t size_ = 0;
    int depth_ = 0;  // brackets that are open
    JsonState json_state_ = JsonState::outside;
    bool in_servers_ = false;
    EndpointListMessage message_;
};

/// Parses lists that are held as text, as in a start file. Zones and kinds that the deployment did
/// not name keep their numbers from list to list. Not synchronized.
class EndpointListReader {
 public:
    explicit EndpointListReader(SymbolTable names) : names_(std::move(names)) {}
    /// The one list that `json` is; absent if it is anything else.
    [[nodiscard]] std::optional<EndpointListMessage> read(std::string_view json);

 private:
    SymbolTable names_;
};

}  // namespace micaroad::protocol
