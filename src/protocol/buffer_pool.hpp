/// A bounded pool of equally sized buffers, and byte queues made of them. The bound keeps unread
/// and unfinished data of peers within the memory limit.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace micaroad::protocol {

/// Hands out blocks of kBlockBytes bytes, at most `max_blocks` at a time. Blocks are allocated when
/// first needed and then reused. Any thread may call it.
class BufferPool {
 public:
    /// Size of a block in bytes.
    static constexpr std::size_t kBlockBytes = 4 * 1024;
    using Block = std::array<char, kBlockBytes>;
    /// Returns a block to its pool.
    struct Return {
        BufferPool* pool = nullptr;
        void operator()(Block* block) const { pool->put(block); }
    };
    /// A block in use. Its destruction returns the block to the pool, which must outlive it.
    using Lease = std::unique_ptr<Block, Return>;

    explicit BufferPool(std::size_t max_blocks) : max_blocks_(max_blocks) {}
    BufferPool(const BufferPool&) = delete;
    BufferPool& operator=(const BufferPool&) = delete;

    /// Returns a block with unspecified contents, or an empty lease if all blocks are in use.
    [[nodiscard]] Lease take();
    /// Number of blocks that are not in use.
    [[nodiscard]] std::size_t available() const;

 private:
    void put(Block* block);

    mutable std::mutex mutex_;
    std::vector<std::unique_ptr<Block>> free_blocks_;
    const std::size_t max_blocks_;
    std::size_t allocated_blocks_ = 0;
};

/// A queue of bytes stored in blocks of a pool. Not synchronized.
class BufferChain {
 public:
    /// A block and the number of bytes used at its start.
    struct Piece {
        BufferPool::Lease block;
        std::size_t size = 0;
        [[nodiscard]] std::string_view view() const { return {block->data(), size}; }
    };

    /// Appends all of `bytes`. Returns false, with nothing appended, if the pool has too few free
    /// blocks. All appends to a chain must use the same pool.
    [[nodiscard]] bool append(BufferPool& pool, std::string_view bytes);
    /// Removes the first piece and returns it. The chain must not be empty.
    [[nodiscard]] Piece take_front();
    /// Returns a copy of all bytes.
    [[nodiscard]] std::string text() const;
    /// Number of bytes held.
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    /// Returns all blocks to the pool.
    void clear();

 private:
    std::deque<Piece> pieces_;
    std::size_t size_ = 0;
};

}  // namespace micaroad::protocol
