#include "haproxy/lexer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace micaroad::haproxy {
namespace {

bool is_blank(char c) {
    return c == ' ' || c == '\t' || c == '\v' || c == '\f';
}
bool begins_name(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '.';
}
bool in_name(char c) {
    return begins_name(c) || (c >= '0' && c <= '9');
}
int hex_of(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

}  // namespace

Lexer::Lexer(std::string file, const Environment& environment, Taken taken)
    : file_(std::move(file)), environment_(environment), taken_(std::move(taken)) {}

void Lexer::feed(std::string_view bytes) {
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::string_view part = bytes.substr(0, end);
        if (held_.size() + part.size() > kLongestLine) {
            too_long_ = true;
        } else {
            held_ += part;
        }
        begun_ = true;
        if (end == std::string_view::npos) {
            return;
        }
        bytes.remove_prefix(end + 1);
        end_line();
    }
}

void Lexer::finish() {
    if (!begun_) {
        return;
    }
    // A backslash before the end of the file joins nothing.
    held_ += '\n';
    end_line();
    begun_ = false;
}

void Lexer::end_line() {
    ++number_;
    if (first_ == 0) {
        first_ = number_;
    }
    if (first_ == 1 && held_.starts_with(kByteOrderMark)) {
        held_.erase(0, kByteOrderMark.size());
    }
    if (held_.ends_with('\r')) {
        held_.pop_back();
    }
    Line line{file_, first_, {}, "", 0};
    if (too_long_) {
        line.trouble = fmt::format("a line over {} bytes", kLongestLine);
    } else if (!split(line)) {
        held_.pop_back();  // the backslash; the next line follows
        return;
    }
    held_.clear(), too_long_ = false, begun_ = false, first_ = 0;
    taken_(std::move(line));
}

std::string Lexer::value_of(std::string_view name) const {
    if (name == ".FILE") {
        return file_;
    }
    if (name == ".LINE") {
        return std::to_string(first_);
    }
    const auto at = environment_.find(std::string(name));
    return at == environment_.end() ? "" : at->second;
}

bool Lexer::split(Line& line) {
    const std::string& text = held_;
    std::string word;
    bool in_word = false, weak = false, strong = false;
    int column = 0;
    const auto trouble = [&](std::size_t at, std::string says) {
        line.trouble = std::move(says), line.trouble_column = static_cast<int>(at) + 1;
        return true;
    };
    const auto begin = [&](std::size_t at) {
        if (!std::exchange(in_word, true)) {
            column = static_cast<int>(at) + 1;
        }
    };
    const auto end = [&] {
        if (std::exchange(in_word, false)) {
            line.words.push_back({std::exchange(word, ""), column});
        }
    };
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '\0') {
            return trouble(i, "a NUL byte");
        }
        if (c == '\n') {
            break;  // put there by finish()
        }
        if (strong) {
            c == '\'' ? (void)(strong = false) : (void)(word += c);
            continue;
        }
        if (c == '\\') {
            if (i + 1 == text.size()) {
                return false;
            }
            const char next = text[i + 1];
            begin(i);
            if (next == '\n') {
                return trouble(i, "a backslash at the end of the file");
            }
            if (next == 'x') {
                const int high = i + 2 < text.size() ? hex_of(text[i + 2]) : -1;
                const int low = i + 3 < text.size() ? hex_of(text[i + 3]) : -1;
                if (high < 0 || low < 0) {
                    return trouble(i, "\\x without two hexadecimal digits");
                }
                if (high + low == 0) {
                    return trouble(i, "a NUL byte");
                }
                word += static_cast<char>(high * 16 + low), i += 3;
                continue;
            }
            static constexpr std::pair<char, char> kNamed[] = {
                {'n', '\n'}, {'r', '\r'}, {'t', '\t'}};
            const auto named = std::find_if(std::begin(kNamed), std::end(kNamed),
                                            [next](auto& pair) { return pair.first == next; });
            if (named != std::end(kNamed)) {
                word += named->second, ++i;
            } else if (std::string_view(" #\\\"'").find(next) != std::string_view::npos ||
                       (weak && next == '$')) {
                word += next, ++i;
            } else {
                word += c;  // it stands for itself
            }
            continue;
        }
        if (c == '"') {
            begin(i);
            weak = !weak;
            continue;
        }
        if (weak && c == '$') {
            std::size_t at = i + 1;
            const bool braces = at < text.size() && text[at] == '{';
            if (braces) {
                ++at;
            }
            const std::size_t from = at;
            if (at < text.size() && begins_name(text[at])) {
                while (at < text.size() && in_name(text[at])) {
                    ++at;
                }
            }
            if (at == from) {
                return trouble(i, "$ without a variable's name");
            }
            const std::string name = text.substr(from, at - from);
            std::string value = value_of(name);
            bool many = false;
            if (braces) {
                if (text.compare(at, 3, "[*]") == 0) {
                    many = true, at += 3;
                }
                if (at < text.size() && text[at] == '-') {
                    const auto close = text.find('}', at);
                    if (value.empty() && close != std::string::npos) {
                        value = text.substr(at + 1, close - at - 1);
                    }
                    at = close == std::string::npos ? text.size() : close;
                }
                if (at >= text.size() || text[at] != '}') {
                    return trouble(i, "${ without its }");
                }
                ++at;
            }
            if (many) {  // blanks in the value part words
                for (const char v : value) {
                    if (is_blank(v)) {
                        end();
                    } else {
                        begin(i), word += v;
                    }
                }
            } else {
                word += value;
            }
            i = at - 1;
            continue;
        }
        if (weak) {
            word += c;
        } else if (is_blank(c) || c == '\r') {
            end();
        } else if (c == '\'') {
            begin(i), strong = true;
        } else if (c == '#') {
            break;
        } else {
            begin(i), word += c;
        }
    }
    if (weak || strong) {
        return trouble(static_cast<std::size_t>(column > 0 ? column - 1 : 0),
                       "a quote without its end");
    }
    end();
    return true;
}

}  // namespace micaroad::haproxy
