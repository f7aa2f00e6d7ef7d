#include "decision/send_window.hpp"

#include <algorithm>
#include <utility>

namespace micaroad::decision {

double SendWindow::pending() const {
    return std::max(charged_ - sent_, pending_by_time_);
}

void SendWindow::charge(ProxyId proxy, double lines) {
    open_batch_.unacknowledged[proxy] += lines;
    charged_ += lines;
    pending_by_time_ += lines;
}

std::optional<Nonce> SendWindow::next_nonce() {
    while (!batches_.empty() && charged_until_end_of(batches_.begin()->second) <= sent_) {
        batches_.erase(batches_.begin());
    }
    if (open_batch_.unacknowledged.empty()) {
        return std::nullopt;
    }
    const Nonce nonce{next_number_ % kNonceCount};
    batches_[next_number_] = std::exchange(open_batch_, Batch{charged_, {}, 0});
    ++next_number_;
    batches_.erase(next_number_ - kNonceCount);  // its nonce will be used again
    return nonce;
}

bool SendWindow::on_acknowledgement(ProxyId proxy, Nonce nonce) {
    const int newest = next_number_ - 1;
    const int newer_nonces = (newest - nonce.value % kNonceCount + kNonceCount) % kNonceCount;
    const auto found = batches_.find(newest - newer_nonces);
    if (found == batches_.end()) {
        return false;
    }
    Batch& batch = found->second;
    if (const auto message = batch.unacknowledged.extract(proxy)) {
        batch.acknowledged += message.mapped();
    }
    sent_ = std::max(sent_, batch.charged_before + batch.acknowledged);
    return true;
}

void SendWindow::on_proxy_left(ProxyId proxy) {
    for (const auto& [number, batch] : batches_) {
        const auto message = batch.unacknowledged.find(proxy);
        if (message != batch.unacknowledged.end()) {
            pending_to_departed_ += message->second;
        }
    }
}

void SendWindow::advance(const ElapsedSending& elapsed) {
    if (elapsed.acknowledgements_stopped) {
        sent_ += elapsed.lines_at_least;
    }
    sent_ = std::min(sent_, charged_);
    const double lines_sent =
        pending_to_departed_ > 0 ? elapsed.lines_at_least : elapsed.lines_at_most;
    pending_by_time_ = std::max(0.0, pending_by_time_ - lines_sent);
    pending_to_departed_ = std::max(0.0, pending_to_departed_ - elapsed.lines_at_least);
}

double SendWindow::charged_until_end_of(const Batch& batch) {
    double lines = batch.charged_before + batch.acknowledged;
    for (const auto& [proxy, message_lines] : batch.unacknowledged) {
        lines += message_lines;
    }
    return lines;
}

}  // namespace micaroad::decision
