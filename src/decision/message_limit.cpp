#include "decision/message_limit.hpp"

#include <algorithm>

namespace micaroad::decision {

namespace {

// Changes that become due within this time are sent in one message, which saves overhead. Learnt
// changes wait longer: that saves more overhead than the delay costs.
constexpr Duration kMergeInterval = std::chrono::milliseconds(200);
constexpr Duration kLearntMergeInterval = std::chrono::seconds(1);

// Messages of the limit that rounds leave to bindings. Rounds take more of them by one each where
// the first and the last urgent, or learnt, round are both within the window.
constexpr int kMessagesReservedForBinding = 3;
constexpr int kUnlimitedMessages = 1'000'000;

/// Most rounds within the window, counted at both of its ends.
int max_rounds(Duration window, Duration spacing) {
    return static_cast<int>(window / spacing) + 1;
}

}  // namespace

// Urgent rounds use seven tenths of the message rate that rounds are allowed, learnt rounds three
// tenths.
MessageLimit::MessageLimit(const DeploymentSettings& settings)
    : limited_(settings.max_messages_per_proxy > 0), window_(settings.message_limit_window) {
    const int max_messages = settings.max_messages_per_proxy;
    const int round_messages =
        limited_ ? std::max(1, max_messages - kMessagesReservedForBinding) : kUnlimitedMessages;
    const Duration spacing = window_ / round_messages;
    urgent_spacing_ = std::max(kMergeInterval, spacing * 10 / 7);
    learnt_spacing_ = std::max(kLearntMergeInterval, spacing * 10 / 3);
    max_bindings_ =
        max_messages - max_rounds(window_, urgent_spacing_) - max_rounds(window_, learnt_spacing_);
}

bool MessageLimit::allows_binding(const BindingTimes& earlier, TimePoint now) const {
    return !limited_ || bindings_in_window(earlier, now) < max_bindings_;
}

bool MessageLimit::allows_rebalancing(const BindingTimes& earlier, TimePoint now) const {
    return !limited_ || (max_bindings_ > 0 && bindings_in_window(earlier, now) == 0);
}

void MessageLimit::add_binding(BindingTimes& times, TimePoint now) const {
    if (!limited_) {
        return;
    }
    while (!times.empty() && now - times.front() > window_) {
        times.pop_front();
    }
    times.push_back(now);
}

int MessageLimit::bindings_in_window(const BindingTimes& times, TimePoint now) const {
    return static_cast<int>(std::ranges::count_if(
        times, [this, now](TimePoint time) { return now - time <= window_; }));
}

}  // namespace micaroad::decision
