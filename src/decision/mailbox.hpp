/// A queue of typed messages to one component of the decision package.
#pragma once

#include <cstddef>
#include <utility>
#include <variant>
#include <vector>

namespace micaroad::decision {

/// Holds the messages to one component until it is their turn. Messages are delivered in the order
/// in which they were posted. Not thread-safe: all components of a planner run on one thread.
template <class... Messages>
class Mailbox {
 public:
    using Message = std::variant<Messages...>;

    /// Keeps memory for `capacity_kept` messages while the mailbox is empty.
    explicit Mailbox(std::size_t capacity_kept = kCapacityKept) : capacity_kept_(capacity_kept) {}

    // Constructs the variant in place: GCC 12 takes one that is moved for uninitialized.
    template <class Posted>
    void post(Posted&& message) {
        waiting_.emplace_back(std::forward<Posted>(message));
    }

    [[nodiscard]] bool empty() const { return waiting_.empty(); }

    /// Calls `handle(message)` for each message, also for those that are posted meanwhile, and
    /// leaves the mailbox empty. `handle` takes each of `Messages` and may post to this mailbox.
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
