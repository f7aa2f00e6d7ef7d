/// Frozen reference implementation. tests/differential_test.cpp holds the optimized decisions of
/// src/ against it: both get the same events, and every order must be equal to the bit. Change it
/// only together with an intended change of behaviour, never for speed or style.
///
/// What may still wait in a planner's channel: arithmetic over what was charged and what was
/// answered. It decides nothing; how fast a channel surely sends is told by the module.
///
/// Two counts, of which the larger holds. By answers: messages leave in order, so an answer proves
/// that its message and all before it are gone; what was charged for these is credited, no more. By
/// time: a channel sends no faster than its pace. Answers alone would credit too much after proxies
/// died: what went to them holds up nobody, so that answers come past it, while it stays counted as
/// waiting.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "micaroad/types.hpp"

namespace micaroad::reference {

class Ledger {
 public:
    double waiting() const { return std::max(ordered_ - passed_, at_pace_); }

    // No less than the lines of a message that is written now. One a proxy until the next mark.
    void charge(ProxyId proxy, double lines) {
        open_.charged[proxy] += lines, ordered_ += lines, at_pace_ += lines;
    }
    // The mark of all that was charged since the last; absent: nothing was.
    std::optional<Nonce> mark() {
        while (!marks_.empty() && end_of(marks_.begin()->second) <= passed_) {
            marks_.erase(marks_.begin());
        }
        if (open_.charged.empty()) {
            return std::nullopt;
        }
        const Nonce mark{next_ % kNumbers};
        marks_[next_++] = std::exchange(open_, {ordered_, {}, 0});
        marks_.erase(next_ - kNumbers);
        return mark;
    }
    bool answered(ProxyId proxy, Nonce mark) {
        const int newer = (next_ - 1 - mark.value % kNumbers + kNumbers) % kNumbers;
        const auto at = marks_.find(next_ - 1 - newer);
        if (at == marks_.end()) {
            return false;
        }
        Marked& its = at->second;
        if (const auto charge = its.charged.extract(proxy)) {
            its.answered += charge.mapped();
        }
        passed_ = std::max(passed_, its.before + its.answered);
        return true;
    }
    // What waits for it will never be answered.
    void left(ProxyId proxy) {
        for (const auto& [number, mark] : marks_) {
            const auto its = mark.charged.find(proxy);
            orphaned_ += its == mark.charged.end() ? 0 : its->second;
        }
    }
    // `pace`: lines that went at most; `sure`: at least, which is all that counts while some wait
    // for the dead, and where `silent`: no answer tells any more.
    void pass(double pace, double sure, bool silent) {
        if (silent) {
            passed_ += sure;
        }
        passed_ = std::min(passed_, ordered_);
        at_pace_ = std::max(0.0, at_pace_ - (orphaned_ > 0 ? sure : pace));
        orphaned_ = std::max(0.0, orphaned_ - sure);
    }

 private:
    static constexpr int kNumbers = 65'536;  // the protocol's marks
    struct Marked {
        double before = 0;                    // charged before its first message
        std::map<ProxyId, double> charged{};  // its messages that are not answered yet
        double answered = 0;                  // the others
    };
    static double end_of(const Marked& mark) {
        double sum = mark.before + mark.answered;
        for (const auto& [proxy, lines] : mark.charged) {
            sum += lines;
        }
        return sum;
    }

    double ordered_ = 0, passed_ = 0;  // charged in all; of these surely gone
    double at_pace_ = 0, orphaned_ = 0;
    Marked open_;
    std::map<int, Marked> marks_;  // by the count of marks
    int next_ = 0;
};

}  // namespace micaroad::reference
