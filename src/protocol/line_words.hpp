/// Parses the `name=value` words of a protocol line and converts their values. Uses no sockets,
/// threads or clocks.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "micaroad/types.hpp"
#include "protocol/message.hpp"

namespace micaroad::protocol {

/// Removes the first word of `line`, up to a blank, and returns it.
[[nodiscard]] std::string_view next_word(std::string_view& line);

/// The words of a line. The line's text must outlive them.
///
/// Errors are sticky, as with a standard stream: the first one is kept, and a value that cannot be
/// converted is returned as 0 or empty. A caller therefore reads all values, then checks error()
/// once before it uses any of them.
class LineWords {
 public:
    /// Splits the line at blanks.
    explicit LineWords(std::string_view line);

    /// The value of a word, which must be present and not empty.
    [[nodiscard]] std::string_view text(std::string_view name);
    /// A number from 0 to 1e9.
    [[nodiscard]] double number(std::string_view name);
    /// An integer from 0 to `bound` - 1.
    [[nodiscard]] int integer(std::string_view name, int bound);
    /// A time in milliseconds from 0 to `max_duration`.
    [[nodiscard]] Duration milliseconds(std::string_view name, Duration max_duration);
    /// The index of the value in `names`.
    [[nodiscard]] int index_in(const std::vector<std::string>& names, std::string_view name);

    /// Records an error, unless one is recorded already.
    void reject(MalformedReason reason, std::string_view word = {});
    /// The first error.
    [[nodiscard]] const std::optional<Malformed>& error() const { return error_; }

 private:
    struct Word {
        std::string_view name;
        std::string_view value;
    };
    void add(std::string_view word);
    [[nodiscard]] const Word* find(std::string_view name) const;

    std::vector<Word> words_;
    std::optional<Malformed> error_;
};

}  // namespace micaroad::protocol
