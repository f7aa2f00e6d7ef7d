#include "protocol/json_cursor.hpp"

#include <charconv>
#include <cmath>

#include "protocol/parse_integer.hpp"

namespace micaroad::protocol {
namespace {

void append_utf8(std::string& text, unsigned code) {
    if (code < 0x80) {
        text += static_cast<char>(code);
    } else if (code < 0x800) {
        text += static_cast<char>(0xC0 | code >> 6);
        text += static_cast<char>(0x80 | (code & 0x3F));
    } else if (code < 0x10000) {
        text += static_cast<char>(0xE0 | code >> 12);
        text += static_cast<char>(0x80 | (code >> 6 & 0x3F));
        text += static_cast<char>(0x80 | (code & 0x3F));
    } else {
        text += static_cast<char>(0xF0 | code >> 18);
        text += static_cast<char>(0x80 | (code >> 12 & 0x3F));
        text += static_cast<char>(0x80 | (code >> 6 & 0x3F));
        text += static_cast<char>(0x80 | (code & 0x3F));
    }
}

}  // namespace

char JsonCursor::peek() {
    while (at_ < text_.size() &&
           std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos) {
        ++at_;
    }
    return at_ < text_.size() ? text_[at_] : '\0';
}

void JsonCursor::expect(char c) {
    if (peek() != c) {
        fail();
    }
    ++at_;
}

void JsonCursor::enter(char bracket) {
    expect(bracket);
    if (++depth_ > kDeepest) {
        fail();
    }
}

bool JsonCursor::leave(char bracket, bool first) {
    if (peek() == bracket) {
        ++at_, --depth_;
        return true;
    }
    if (!first) {
        expect(',');
        if (peek() == bracket) {
            fail();
        }
    }
    return false;
}

bool JsonCursor::word(std::string_view text) {
    peek();
    if (!text_.substr(at_).starts_with(text)) {
        return false;
    }
    at_ += text.size();
    return true;
}

unsigned JsonCursor::hex4() {
    unsigned code = 0;
    const std::string_view digits = text_.substr(at_, 4);
    if (digits.size() != 4 || !parse_integer(digits, code, 16)) {
        fail();
    }
    at_ += 4;
    return code;
}

std::string JsonCursor::string() {
    expect('"');
    std::string text;
    for (;;) {
        if (at_ >= text_.size()) {
            fail();
        }
        const char c = text_[at_++];
        if (c == '"') {
            return text;
        }
        if (static_cast<unsigned char>(c) < 0x20) {
            fail();
        }
        if (c != '\\') {
            text += c;
            continue;
        }
        if (at_ >= text_.size()) {
            fail();
        }
        switch (const char escaped = text_[at_++]) {
            case '"':
            case '\\':
            case '/':
                text += escaped;
                break;
            case 'b':
                text += '\b';
                break;
            case 'f':
                text += '\f';
                break;
            case 'n':
                text += '\n';
                break;
            case 'r':
                text += '\r';
                break;
            case 't':
                text += '\t';
                break;
            case 'u': {
                unsigned code = hex4();
                if (code >= 0xDC00 && code < 0xE000) {
                    fail();
                }
                if (code >= 0xD800 && code < 0xDC00) {
                    if (!text_.substr(at_).starts_with("\\u")) {
                        fail();
                    }
                    at_ += 2;
                    const unsigned low = hex4();
                    if (low < 0xDC00 || low >= 0xE000) {
                        fail();
                    }
                    code = 0x10000 + ((code - 0xD800) << 10) + (low - 0xDC00);
                }
                append_utf8(text, code);
                break;
            }
            default:
                fail();
        }
    }
}

double JsonCursor::number() {
    const char first = peek();
    if (first != '-' && (first < '0' || first > '9')) {
        fail();
    }
    double value = 0;
    const auto [end, error] =
        std::from_chars(text_.data() + at_, text_.data() + text_.size(), value);
    if (error != std::errc{} || !std::isfinite(value)) {
        fail();
    }
    at_ = static_cast<std::size_t>(end - text_.data());
    return value;
}

bool JsonCursor::boolean() {
    if (word("true")) {
        return true;
    }
    if (!word("false")) {
        fail();
    }
    return false;
}

bool JsonCursor::null() {
    return word("null");
}

void JsonCursor::skip() {
    switch (peek()) {
        case '{':
            object([this](const std::string&) { skip(); });
            break;
        case '[':
            array([this] { skip(); });
            break;
        case '"':
            string();
            break;
        case 't':
        case 'f':
            boolean();
            break;
        case 'n':
            if (!null()) {
                fail();
            }
            break;
        default:
            number();
    }
}

std::string_view JsonCursor::raw() {
    peek();
    const std::size_t begin = at_;
    skip();
    return text_.substr(begin, at_ - begin);
}

void JsonCursor::end() {
    if (peek() != '\0' || at_ < text_.size()) {
        fail();
    }
}

}  // namespace micaroad::protocol
