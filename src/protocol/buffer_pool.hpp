// Buffers of one size, used again, and never more of them than was said at the start.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace micaroad::protocol {

class BufferPool {
 public:
    static constexpr std::size_t kBlock = 4 * 1024;
    using Block = std::array<char, kBlock>;
    struct Return {
        BufferPool* pool = nullptr;
        void operator()(Block* block) const { pool->put(block); }
    };
    using Lease = std::unique_ptr<Block, Return>;  // none outlives the pool

    explicit BufferPool(std::size_t most) : most_(most) {}
    BufferPool(const BufferPool&) = delete;
    BufferPool& operator=(const BufferPool&) = delete;

    // Empty when all are out.
    Lease take() {
        const std::lock_guard lock(mutex_);
        if (idle_.empty()) {
            if (made_ == most_) {
                return Lease{nullptr, Return{this}};
            }
            idle_.push_back(std::make_unique<Block>());
            ++made_;
        }
        Lease lease{idle_.back().release(), Return{this}};
        idle_.pop_back();
        return lease;
    }

 private:
    void put(Block* block) {
        const std::lock_guard lock(mutex_);
        idle_.emplace_back(block);
    }

    std::mutex mutex_;
    std::vector<std::unique_ptr<Block>> idle_;
    const std::size_t most_;
    std::size_t made_ = 0;
};

// Bytes in a row of such buffers.
class BufferChain {
 public:
    struct Piece {
        BufferPool::Lease block;
        std::size_t size = 0;
        std::string_view view() const { return {block->data(), size}; }
    };

    // False, with nothing appended, when the pool has too few buffers left.
    bool append(BufferPool& pool, std::string_view bytes) {
        std::vector<BufferPool::Lease> more;
        const std::size_t room = pieces_.empty() ? 0 : BufferPool::kBlock - pieces_.back().size;
        for (std::size_t got = room; got < bytes.size(); got += BufferPool::kBlock) {
            more.push_back(pool.take());
            if (!more.back()) {
                return false;
            }
        }
        size_ += bytes.size();
        const auto fill = [&bytes](Piece& piece) {
            const std::size_t part =
                bytes.copy(piece.block->data() + piece.size, BufferPool::kBlock - piece.size);
            piece.size += part;
            bytes.remove_prefix(part);
        };
        if (room > 0) {
            fill(pieces_.back());
        }
        for (auto& lease : more) {
            fill(pieces_.emplace_back(Piece{std::move(lease), 0}));
        }
        return true;
    }
    Piece take_front() {  // there must be one
        Piece piece = std::move(pieces_.front());
        pieces_.pop_front();
        size_ -= piece.size;
        return piece;
    }
    std::string text() const {
        std::string text;
        text.reserve(size_);
        for (const Piece& piece : pieces_) {
            text += piece.view();
        }
        return text;
    }
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    void clear() { pieces_.clear(), size_ = 0; }

 private:
    std::deque<Piece> pieces_;
    std::size_t size_ = 0;
};

}  // namespace micaroad::protocol
