// JSON read in one pass, without a tree: the caller says what it expects, and passes over the rest.
#pragma once

#include <string>
#include <string_view>

namespace micaroad::protocol {

// Any call throws JsonFault where the text is not what was asked for.
struct JsonFault {};

class JsonCursor {
 public:
    static constexpr int kDeepest = 32;

    explicit JsonCursor(std::string_view text) : text_(text) {}

    // Calls member(key) for each; it must read or skip the value.
    template <class Member>
    void object(Member member) {
        enter('{');
        for (bool first = true; !leave('}', first); first = false) {
            const std::string key = string();
            expect(':');
            member(key);
        }
    }
    template <class Element>  // calls element() for each
    void array(Element element) {
        enter('[');
        for (bool first = true; !leave(']', first); first = false) {
            element();
        }
    }
    std::string string();
    double number();
    bool boolean();
    bool null();  // whether it is one; if not, nothing is read
    void skip();
    std::string_view raw();  // the value as it stands, passed over
    void end();              // nothing but blanks may follow
    char peek();             // the next value's first character

 private:
    void enter(char bracket);
    bool leave(char bracket, bool first);
    void expect(char c);
    bool word(std::string_view text);
    [[noreturn]] void fail() const { throw JsonFault{}; }
    unsigned hex4();

    std::string_view text_;
    std::size_t at_ = 0;
    int depth_ = 0;
};

}  // namespace micaroad::protocol
