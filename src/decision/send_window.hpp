/// Flow control of a planner's channel: how many lines may still wait in it.
///
/// The channel is the platform's; the planner learns nothing of its queue but acknowledgements.
/// Two estimates are kept, and the larger one holds:
///
/// - By acknowledgements: messages leave in order, so an acknowledgement proves that its message
///   and all before it are gone. Just what was charged for these is credited.
/// - By time: a channel sends no faster than its configured pace. Acknowledgements alone would
///   credit too much after proxies died: messages to a dead proxy hold up nobody, so that later
///   ones are acknowledged while the earlier ones still count as pending.
#pragma once

#include <map>
#include <optional>

#include "micaroad/types.hpp"

namespace micaroad::decision {

/// What a channel sent since the last call of SendWindow::advance, as far as time alone tells.
struct ElapsedSending {
    double lines_at_most = 0;   ///< at the configured pace
    double lines_at_least = 0;  ///< at the pace that a channel keeps in any case
    /// No acknowledgement has come for longer than messages take: only `lines_at_least` tells what
    /// was sent.
    bool acknowledgements_stopped = false;
};

/// Lines that were written to the channel and may not have left it. It knows nothing of tables or
/// of the clock. Not thread-safe.
class SendWindow {
 public:
    /// Lines that may still wait in the channel; 0 or more.
    [[nodiscard]] double pending() const;

    /// Counts the lines of a message that is being written to a proxy; never fewer than are
    /// written. All charges to one proxy between two nonces count as one message.
    void charge(ProxyId proxy, double lines);

    /// The nonce for all that was charged since the last one; absent if nothing was.
    [[nodiscard]] std::optional<Nonce> next_nonce();

    /// Credits what the acknowledgement proves to be gone. Returns false for a nonce that is not
    /// known, or no longer.
    bool on_acknowledgement(ProxyId proxy, Nonce nonce);

    /// The proxy will never acknowledge what waits for it.
    void on_proxy_left(ProxyId proxy);

    /// Credits what was sent by time. While messages to proxies that have left are pending, the
    /// estimate by time falls at the lower pace only.
    void advance(const ElapsedSending& elapsed);

 private:
    static constexpr int kNonceCount = 65'536;  // the protocol's; then they begin again at 0

    /// The messages that share a nonce.
    struct Batch {
        double charged_before = 0;                 // lines, before its first message
        std::map<ProxyId, double> unacknowledged;  // lines of each message
        double acknowledged = 0;                   // lines of the other messages
    };

    static double charged_until_end_of(const Batch& batch);

    double charged_ = 0;              // lines, in all
    double sent_ = 0;                 // lines of these that are surely gone
    double pending_by_time_ = 0;      // lines
    double pending_to_departed_ = 0;  // lines to proxies that have left
    Batch open_batch_;                // has no nonce yet
    std::map<int, Batch> batches_;    // by the number of the nonce, counted without wrapping
    int next_number_ = 0;
};

}  // namespace micaroad::decision
