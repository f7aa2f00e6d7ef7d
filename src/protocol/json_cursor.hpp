/// JSON read in one pass, without a tree: the caller asks for what it expects and skips the rest.
/// Text in, values out; no sockets, threads or clocks.
#pragma once

#include <string>
#include <string_view>

namespace micaroad::protocol {

/// A position in a JSON text, which must outlive it.
///
/// Errors are sticky, as with a standard stream: where the text is not what was asked for, the
/// cursor fails, later calls return empty values and call no callback, and end() returns false.
/// So a caller checks once, at the end, and uses nothing it has read before that check.
class JsonCursor {
 public:
    /// Objects and arrays in one another, at most: bounds the recursion of skip().
    static constexpr int kMaxDepth = 32;

    explicit JsonCursor(std::string_view text) : text_(text) {}

    /// Reads an object. Calls member(const std::string& key) at each value, which it must read or
    /// skip.
    template <class Member>
    void object(Member member) {
        enter('{');
        for (bool first = true; !leave('}', first); first = false) {
            const std::string key = string();
            expect(':');
            if (failed_) {
                return;
            }
            member(key);
        }
    }
    /// Reads an array. Calls element() at each value, which it must read or skip.
    template <class Element>
    void array(Element element) {
        enter('[');
        for (bool first = true; !leave(']', first); first = false) {
            element();
        }
    }
    /// Reads a string; it is UTF-8 if the text is.
    [[nodiscard]] std::string string();
    /// Reads a finite number.
    [[nodiscard]] double number();
    [[nodiscard]] bool boolean();
    /// Reads a null and returns true. If the next value is something else, reads nothing and
    /// returns false, which is no failure.
    [[nodiscard]] bool null();
    /// Reads any value and drops it.
    void skip();
    /// Reads any value and returns its text.
    [[nodiscard]] std::string_view raw();
    /// The first character of the next value, with nothing read; NUL at the end or after a failure.
    [[nodiscard]] char peek();
    /// Fails: the caller can't use a value it has read.
    void fail();
    /// Whether all went well and nothing but blanks follows.
    [[nodiscard]] bool end();

 private:
    void skip_blanks();
    void enter(char bracket);
    // Whether the object or array ends here; if not, passes the comma before a further value.
    bool leave(char bracket, bool first);
    void expect(char wanted);
    bool accept(std::string_view word);
    // The next character of a string.
    char next();
    // The rest of an escape sequence, after its backslash, as the characters it stands for.
    void append_escape(std::string& text);
    // The code point of \u with four digits, or of two such for a surrogate pair.
    unsigned code_point();
    unsigned four_hex_digits();

    std::string_view text_;
    std::size_t position_ = 0;
    int depth_ = 0;
    bool failed_ = false;
};

}  // namespace micaroad::protocol
