/// A queue of typed messages to one component of the decision package.
#pragma once

#include <cstddef>
#include <utility>
#include <variant>
#include <vector>

namespace micaroad::decision {

/// Holds the messages to one component until they are delivered, in the order in which they were
/// posted. Not thread-safe: all components of a planner run on one thread.
template <class... Messages>
class Mailbox {
 public:
    using Message = std::variant<Messages...>;

    /// An empty mailbox keeps allocated memory for up to `capacity_kept` messages.
    explicit Mailbox(std::size_t capacity_kept = kCapacityKept) : capacity_kept_(capacity_kept) {}

    // Constructs the variant in place: GCC 12 reports a moved variant as uninitialized.
    template <class Posted>
    void post(Posted&& message) {
        waiting_.emplace_back(std::forward<Posted>(message));
    }

    [[nodiscard]] bool empty() const { return waiting_.empty(); }

    /// Calls `handle(message)` for each message, including those posted in the meantime, and leaves
    /// the mailbox empty. `handle` accepts each type of `Messages` and may post to this mailbox.
    template <class Handle>
    void deliver(Handle handle) {
        std::vector<Message> batch;
        while (!waiting_.empty()) {
            batch.clear();
            batch.swap(waiting_);
            for (const Message& message : batch) {
                std::visit(handle, message);
            }
        }
        batch.clear();
        if (batch.capacity() <= capacity_kept_) {
            batch.swap(waiting_);
        }
    }

 private:
    static constexpr std::size_t kCapacityKept = 256;

    std::vector<Message> waiting_;
    std::size_t capacity_kept_;
};

}  // namespace micaroad::decision
