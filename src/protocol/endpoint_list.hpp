// Discovery's list: one JSON object to one list of the module, and the version that is held of it.
// Lists are large, so none is held as text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "micaroad/planner.hpp"
#include "settings/deployment_settings.hpp"

namespace micaroad::protocol {

struct EndpointListMessage {
    std::int64_t version = 0;
    event::EndpointListUpdate list;  // changes or complete; each server once, as it was given last
    std::map<ServerId, std::string> addresses;  // for probes
    std::map<ServerId, std::string> dropped;    // entries that can't be used: why
};

// How a body is parted into objects.
enum class EndpointListFraming {
    line,      // one object a line, as on a watch
    document,  // an object may go on over several lines, as in the answer to a fetch
};

enum class EndpointListError { none, malformed, too_long };

// Lists out of bytes in any pieces, an entry at a time: the text of one entry is held, never that
// of a list. SymbolTable that the deployment did not tell are added to `names`, which outlives
// this; instants count from the Unix epoch.
class EndpointListParser {
 public:
    // What an entry counts at least against the bound, in bytes: what is kept of it takes room,
    // however short its text.
    static constexpr std::size_t kLeastEntry = 128;

    // An object may have `most_bytes`, counted as its text comes; short entries count kLeastEntry.
    EndpointListParser(SymbolTable& names, EndpointListFraming framing, std::size_t most_bytes)
        : names_(names), framing_(framing), most_bytes_(most_bytes) {}

    // Calls take(std::optional<EndpointListMessage>) for each object, and without a list for an
    // empty line. After a fault the body can't be read any further.
    template <class Take>
    EndpointListError feed(std::string_view bytes, Take take) {
        for (const char c : bytes) {
            if (c == '\n' && (framing_ == EndpointListFraming::line || depth_ <= 0)) {
                if (!end_object(take)) {
                    return EndpointListError::malformed;
                }
            } else if (!add(c)) {
                return EndpointListError::malformed;
            }
            if (size_ > most_bytes_) {
                return EndpointListError::too_long;
            }
        }
        return EndpointListError::none;
    }
    // The body has ended, and with it the object that has come last, if its line has not.
    template <class Take>
    EndpointListError finish(Take take) {
        return size_ == 0 || end_object(take) ? EndpointListError::none
                                              : EndpointListError::malformed;
    }
    std::size_t size() const { return size_; }  // of the object that is under way, as it counts

 private:
    template <class Take>
    bool end_object(Take take) {
        const bool blank = frame_.find_first_not_of(" \t\r") == std::string::npos && entry_.empty();
        std::optional<EndpointListMessage> said = blank ? std::nullopt : take_list();
        const bool readable = blank || said;
        start_over();
        if (readable) {
            take(std::move(said));
        }
        return readable;
    }
    bool add(char c);
    void track(char c);
    bool opens_servers() const;
    bool take_entry();
    std::optional<EndpointListMessage> take_list();  // absent: what has come is no list
    void start_over();

    SymbolTable& names_;
    const EndpointListFraming framing_;
    const std::size_t most_bytes_;
    std::string frame_;  // the object without its entries: `{}` stands for each
    std::string entry_;  // the one that is under way
    std::size_t size_ = 0;
    int depth_ = 0;  // brackets that are open
    bool in_string_ = false, escaped_ = false, in_servers_ = false;
    EndpointListMessage said_;
};

// A list that is held whole, as in a start file. Several share their names.
class EndpointListReader {
 public:
    explicit EndpointListReader(SymbolTable names) : names_(std::move(names)) {}
    std::optional<EndpointListMessage> read(std::string_view json);  // absent: can't be read

 private:
    SymbolTable names_;
};

}  // namespace micaroad::protocol
