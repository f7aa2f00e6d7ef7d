/// Flow control of a planner's channel: how many lines may still be pending in it.
///
/// The channel belongs to the platform; acknowledgements are all that the planner learns about its
/// queue. Two estimates of the pending lines are kept, and the larger one applies:
///
/// - By acknowledgements: messages leave in order, so an acknowledgement proves that its message
///   and all before it have left the channel. Exactly the lines charged for these are credited.
/// - By time: a channel sends no faster than its configured pace. Acknowledgements alone would
///   credit too much after proxies died: messages to a dead proxy do not delay messages to other
///   proxies, so later ones are acknowledged while the earlier ones still count as pending.
#pragma once

#include <map>
#include <optional>

#include "micaroad/types.hpp"

namespace micaroad::decision {

/// What a channel sent since the last call of SendWindow::advance, estimated from the elapsed time
/// alone.
struct ElapsedSending {
    double lines_at_most = 0;   ///< at the configured pace
    double lines_at_least = 0;  ///< at the pace that a channel reaches in any case
    /// No acknowledgement has arrived for longer than messages take, so only `lines_at_least` tells
    /// what was sent.
    bool acknowledgements_stopped = false;
};

/// Counts the lines that were written to the channel and may not have left it. It depends neither
/// on tables nor on the clock. Not thread-safe.
class SendWindow {
 public:
    /// Lines that may still be pending in the channel; 0 or more.
    [[nodiscard]] double pending() const;

    /// Counts the lines of a message that is being written to a proxy; never fewer than are
    /// written. All charges to one proxy between two nonces count as one message.
    void charge(ProxyId proxy, double lines);

    /// The nonce for everything that was charged since the last one; absent if nothing was.
    [[nodiscard]] std::optional<Nonce> next_nonce();

    /// Credits what the acknowledgement proves to have left the channel. Returns false for a nonce
    /// that is unknown or no longer known.
    bool on_acknowledgement(ProxyId proxy, Nonce nonce);

    /// Records that the proxy will never acknowledge the lines that are pending for it.
    void on_proxy_left(ProxyId proxy);

    /// Credits what was sent by time. While messages to proxies that have left are pending, the
    /// estimate by time falls at the lower pace only.
    void advance(const ElapsedSending& elapsed);

 private:
    static constexpr int kNonceCount = 65'536;  // set by the protocol; then numbers restart at 0

    /// The messages that share a nonce.
    struct Batch {
        double charged_before = 0;                 // lines, before its first message
        std::map<ProxyId, double> unacknowledged;  // lines of each message
        double acknowledged = 0;                   // lines of the other messages
    };

    static double charged_until_end_of(const Batch& batch);

    double charged_ = 0;              // lines, in all
    double sent_ = 0;                 // lines of these that have certainly left
    double pending_by_time_ = 0;      // lines
    double pending_to_departed_ = 0;  // lines to proxies that have left
    Batch open_batch_;                // has no nonce yet
    std::map<int, Batch> batches_;    // by the number of the nonce, counted without wrapping
    int next_number_ = 0;
};

}  // namespace micaroad::decision
