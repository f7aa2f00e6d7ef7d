/// Reads JSON in one pass without building a tree: the caller reads the values it expects and skips
/// the rest. Uses no sockets, threads or clocks.
#pragma once

#include <string>
#include <string_view>

namespace micaroad::protocol {

/// A position in a JSON text. The text must outlive the cursor.
///
/// Errors are sticky, as with a standard stream: when the text does not match a call, the cursor
/// fails, later calls return empty values and invoke no callback, and end() returns false. A caller
/// therefore checks end() once, and uses no value before that.
class JsonCursor {
 public:
    /// Maximum nesting of objects and arrays, which bounds the recursion of skip().
    static constexpr int kMaxDepth = 32;

    explicit JsonCursor(std::string_view text) : text_(text) {}

    /// Reads an object. Calls member(const std::string& key) at each value; the callback must read
    /// or skip the value.
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
    /// Reads an array. Calls element() at each value; the callback must read or skip the value.
    template <class Element>
    void array(Element element) {
        enter('[');
        for (bool first = true; !leave(']', first); first = false) {
            element();
        }
    }
    /// Reads a string. The result is UTF-8 if the text is.
    [[nodiscard]] std::string string();
    /// Reads a finite number.
    [[nodiscard]] double number();
    [[nodiscard]] bool boolean();
    /// Reads a null and returns true. If the next value is anything else, reads nothing and returns
    /// false without failing.
    [[nodiscard]] bool null();
    /// Reads any value and discards it.
    void skip();
    /// Reads any value and returns its text.
    [[nodiscard]] std::string_view raw();
    /// Returns the first character of the next value without reading it; NUL at the end of the text
    /// or after a failure.
    [[nodiscard]] char peek();
    /// Makes the cursor fail, for a caller that has read an invalid value.
    void fail();
    /// Returns whether no call has failed and only blanks follow.
    [[nodiscard]] bool end();

 private:
    void skip_blanks();
    void enter(char bracket);
    // Returns whether the object or array ends here; if not, skips the comma before the next value.
    bool leave(char bracket, bool first);
    void expect(char wanted);
    bool accept(std::string_view word);
    // Reads the next character of a string.
    char next();
    // Reads an escape sequence after its backslash and appends the characters that it stands for.
    void append_escape(std::string& text);
    // Reads the code point of a \u escape after its `u`, or of two for a surrogate pair.
    unsigned code_point();
    unsigned four_hex_digits();

    std::string_view text_;
    std::size_t position_ = 0;
    int depth_ = 0;
    bool failed_ = false;
};

}  // namespace micaroad::protocol
