/// Frozen reference implementation. tests/differential_test.cpp compares the optimized decisions of
/// src/ with it: both get the same events, and every order must be equal to the bit. Change it only
/// together with an intended change of behaviour, never for speed or style.
///
/// Counts the lines that may still be pending in a planner's channel. It makes no decisions; the
/// caller passes the pace that the channel reaches in any case.
///
/// There are two counts, of which the larger holds. By acknowledgements: messages leave in
/// sequence, so an acknowledgement proves that its message and all earlier ones have left; what was
/// charged for these is credited, no more. By time: a channel sends no faster than its pace.
/// Acknowledgements alone would credit too much after proxies left: lines to them delay no other
/// message, so that acknowledgements overtake them while they still count as pending.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "micaroad/types.hpp"

namespace micaroad::reference {

class SendWindow {
 public:
    double pending() const { return std::max(charged_ - credited_, pending_by_time_); }

    // Counts the lines of a message, never fewer than are written. All charges to a proxy until the
    // next nonce are one message.
    void charge(ProxyId proxy, double lines) {
        current_.unacknowledged[proxy] += lines, charged_ += lines, pending_by_time_ += lines;
    }
    // Returns the nonce for everything charged since the last one; absent if nothing was.
    std::optional<Nonce> next_nonce() {
        while (!charges_by_nonce_.empty() &&
               end_of(charges_by_nonce_.begin()->second) <= credited_) {
            charges_by_nonce_.erase(charges_by_nonce_.begin());
        }
        if (current_.unacknowledged.empty()) {
            return std::nullopt;
        }
        const Nonce nonce{next_number_ % kNonceCount};
        charges_by_nonce_[next_number_++] = std::exchange(current_, {charged_, {}, 0});
        charges_by_nonce_.erase(next_number_ - kNonceCount);
        return nonce;
    }
    bool on_acknowledgement(ProxyId proxy, Nonce nonce) {
        const int later_nonces =
            (next_number_ - 1 - nonce.value % kNonceCount + kNonceCount) % kNonceCount;
        const auto found = charges_by_nonce_.find(next_number_ - 1 - later_nonces);
        if (found == charges_by_nonce_.end()) {
            return false;
        }
        NonceCharges& charges = found->second;
        if (const auto charge = charges.unacknowledged.extract(proxy)) {
            charges.acknowledged += charge.mapped();
        }
        credited_ = std::max(credited_, charges.charged_before + charges.acknowledged);
        return true;
    }
    // The lines that are pending for the proxy will never be acknowledged.
    void on_proxy_left(ProxyId proxy) {
        for (const auto& [number, charges] : charges_by_nonce_) {
            const auto charge = charges.unacknowledged.find(proxy);
            pending_to_left_proxies_ += charge == charges.unacknowledged.end() ? 0 : charge->second;
        }
    }
    // `at_most` and `at_least` are bounds of the lines that were sent. Only `at_least` counts while
    // lines to proxies that left are pending, and if `acknowledgements_stopped`.
    void pass(double at_most, double at_least, bool acknowledgements_stopped) {
        if (acknowledgements_stopped) {
            credited_ += at_least;
        }
        credited_ = std::min(credited_, charged_);
        pending_by_time_ =
            std::max(0.0, pending_by_time_ - (pending_to_left_proxies_ > 0 ? at_least : at_most));
        pending_to_left_proxies_ = std::max(0.0, pending_to_left_proxies_ - at_least);
    }

 private:
    static constexpr int kNonceCount = 65'536;  // nonces of the protocol
    struct NonceCharges {
        double charged_before = 0;                   // charged before its first message
        std::map<ProxyId, double> unacknowledged{};  // its messages that are not acknowledged yet
        double acknowledged = 0;                     // its other messages
    };
    static double end_of(const NonceCharges& charges) {
        double sum = charges.charged_before + charges.acknowledged;
        for (const auto& [proxy, lines] : charges.unacknowledged) {
            sum += lines;
        }
        return sum;
    }

    double charged_ = 0, credited_ = 0;  // charged in total; proven to have left
    double pending_by_time_ = 0, pending_to_left_proxies_ = 0;
    NonceCharges current_;
    std::map<int, NonceCharges> charges_by_nonce_;  // by the number of earlier nonces
    int next_number_ = 0;
};

}  // namespace micaroad::reference
