#include "protocol/json_cursor.hpp"

#include <charconv>
#include <cmath>

#include "protocol/parse_integer.hpp"

namespace micaroad::protocol {
namespace {

// UTF-16 surrogates: a code point above 0xFFFF is a high surrogate followed by a low one.
constexpr unsigned kHighSurrogates = 0xD800;
constexpr unsigned kLowSurrogates = 0xDC00;
constexpr unsigned kSurrogatesEnd = 0xE000;
constexpr unsigned kFirstSupplementary = 0x10000;

constexpr unsigned char kFirstPrintable = 0x20;

bool is_blank(char character) {
    return character == ' ' || character == '\t' || character == '\r' || character == '\n';
}

bool is_high_surrogate(unsigned code) {
    return code >= kHighSurrogates && code < kLowSurrogates;
}

bool is_low_surrogate(unsigned code) {
    return code >= kLowSurrogates && code < kSurrogatesEnd;
}

// A UTF-8 continuation byte with the six bits of `code` from bit `shift` on.
char continuation_byte(unsigned code, int shift) {
    return static_cast<char>(0x80 | (code >> shift & 0x3F));
}

void append_utf8(std::string& text, unsigned code) {
    if (code < 0x80) {
        text += static_cast<char>(code);
    } else if (code < 0x800) {
        text += static_cast<char>(0xC0 | code >> 6);
        text += continuation_byte(code, 0);
    } else if (code < kFirstSupplementary) {
        text += static_cast<char>(0xE0 | code >> 12);
        text += continuation_byte(code, 6);
        text += continuation_byte(code, 0);
    } else {
        text += static_cast<char>(0xF0 | code >> 18);
        text += continuation_byte(code, 12);
        text += continuation_byte(code, 6);
        text += continuation_byte(code, 0);
    }
}

}  // namespace

void JsonCursor::fail() {
    failed_ = true;
    position_ = text_.size();
}

void JsonCursor::skip_blanks() {
    while (position_ < text_.size() && is_blank(text_[position_])) {
        ++position_;
    }
}

char JsonCursor::peek() {
    skip_blanks();
    return position_ < text_.size() ? text_[position_] : '\0';
}

void JsonCursor::expect(char wanted) {
    if (peek() != wanted) {
        fail();
        return;
    }
    ++position_;
}

void JsonCursor::enter(char bracket) {
    expect(bracket);
    ++depth_;
    if (depth_ > kMaxDepth) {
        fail();
    }
}

bool JsonCursor::leave(char bracket, bool first) {
    if (peek() == bracket) {
        ++position_;
        --depth_;
        return true;
    }
    if (!first) {
        expect(',');
        if (peek() == bracket) {
            fail();
        }
    }
    return failed_;
}

bool JsonCursor::accept(std::string_view word) {
    skip_blanks();
    if (!text_.substr(position_).starts_with(word)) {
        return false;
    }
    position_ += word.size();
    return true;
}

char JsonCursor::next() {
    if (position_ >= text_.size()) {
        fail();
        return '\0';
    }
    const char character = text_[position_];
    ++position_;
    return character;
}

std::string JsonCursor::string() {
    expect('"');
    std::string text;
    while (!failed_) {
        const char character = next();
        if (character == '"') {
            return text;
        }
        if (character == '\\') {
            append_escape(text);
        } else if (static_cast<unsigned char>(character) < kFirstPrintable) {
            fail();
        } else {
            text += character;
        }
    }
    return {};
}

void JsonCursor::append_escape(std::string& text) {
    switch (const char escaped = next()) {
        case '"':
        case '\\':
        case '/':
            text += escaped;
            return;
        case 'b':
            text += '\b';
            return;
        case 'f':
            text += '\f';
            return;
        case 'n':
            text += '\n';
            return;
        case 'r':
            text += '\r';
            return;
        case 't':
            text += '\t';
            return;
        case 'u':
            append_utf8(text, code_point());
            return;
        default:
            fail();
    }
}

unsigned JsonCursor::code_point() {
    const unsigned code = four_hex_digits();
    if (is_low_surrogate(code)) {
        fail();
        return 0;
    }
    if (!is_high_surrogate(code)) {
        return code;
    }
    if (next() != '\\' || next() != 'u') {
        fail();
        return 0;
    }
    const unsigned low = four_hex_digits();
    if (!is_low_surrogate(low)) {
        fail();
        return 0;
    }
    return kFirstSupplementary + ((code - kHighSurrogates) << 10) + (low - kLowSurrogates);
}

unsigned JsonCursor::four_hex_digits() {
    constexpr std::size_t kDigits = 4;
    unsigned code = 0;
    const std::string_view digits = text_.substr(position_, kDigits);
    if (digits.size() != kDigits || !parse_integer(digits, code, 16)) {
        fail();
        return 0;
    }
    position_ += kDigits;
    return code;
}

double JsonCursor::number() {
    const char first = peek();
    if (first != '-' && (first < '0' || first > '9')) {
        fail();
        return 0;
    }
    double value = 0;
    const char* const text_end = text_.data() + text_.size();
    const std::from_chars_result result =
        std::from_chars(text_.data() + position_, text_end, value);
    if (result.ec != std::errc{} || !std::isfinite(value)) {
        fail();
        return 0;
    }
    position_ = static_cast<std::size_t>(result.ptr - text_.data());
    return value;
}

bool JsonCursor::boolean() {
    if (accept("true")) {
        return true;
    }
    if (!accept("false")) {
        fail();
    }
    return false;
}

bool JsonCursor::null() {
    return accept("null");
}

void JsonCursor::skip() {
    switch (peek()) {
        case '{':
            object([this](const std::string&) { skip(); });
            return;
        case '[':
            array([this] { skip(); });
            return;
        case '"':
            static_cast<void>(string());
            return;
        case 't':
        case 'f':
            static_cast<void>(boolean());
            return;
        case 'n':
            if (!null()) {
                fail();
            }
            return;
        default:
            static_cast<void>(number());
    }
}

std::string_view JsonCursor::raw() {
    skip_blanks();
    const std::size_t begin = position_;
    skip();
    return text_.substr(begin, position_ - begin);
}

bool JsonCursor::end() {
    skip_blanks();
    return !failed_ && position_ == text_.size();
}

}  // namespace micaroad::protocol
