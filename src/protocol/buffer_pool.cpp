#include "protocol/buffer_pool.hpp"

#include <utility>

namespace micaroad::protocol {
namespace {

// Copies as many of `bytes` as fit into the piece, and removes those from `bytes`.
void fill(BufferChain::Piece& piece, std::string_view& bytes) {
    char* const free_space = piece.block->data() + piece.size;
    const std::size_t copied = bytes.copy(free_space, BufferPool::kBlockBytes - piece.size);
    piece.size += copied;
    bytes.remove_prefix(copied);
}

}  // namespace

BufferPool::Lease BufferPool::take() {
    const std::lock_guard lock(mutex_);
    if (free_blocks_.empty()) {
        if (allocated_blocks_ == max_blocks_) {
            return Lease{nullptr, Return{this}};
        }
        free_blocks_.push_back(std::make_unique<Block>());
        ++allocated_blocks_;
    }
    Lease lease{free_blocks_.back().release(), Return{this}};
    free_blocks_.pop_back();
    return lease;
}

std::size_t BufferPool::available() const {
    const std::lock_guard lock(mutex_);
    return max_blocks_ - allocated_blocks_ + free_blocks_.size();
}

void BufferPool::put(Block* block) {
    const std::lock_guard lock(mutex_);
    free_blocks_.emplace_back(block);
}

bool BufferChain::append(BufferPool& pool, std::string_view bytes) {
    const std::size_t free_bytes =
        pieces_.empty() ? 0 : BufferPool::kBlockBytes - pieces_.back().size;
    std::vector<BufferPool::Lease> added;
    for (std::size_t space = free_bytes; space < bytes.size(); space += BufferPool::kBlockBytes) {
        added.push_back(pool.take());
        if (!added.back()) {
            return false;
        }
    }
    size_ += bytes.size();
    if (free_bytes > 0) {
        fill(pieces_.back(), bytes);
    }
    for (BufferPool::Lease& lease : added) {
        pieces_.push_back(Piece{std::move(lease), 0});
        fill(pieces_.back(), bytes);
    }
    return true;
}

BufferChain::Piece BufferChain::take_front() {
    Piece piece = std::move(pieces_.front());
    pieces_.pop_front();
    size_ -= piece.size;
    return piece;
}

std::string BufferChain::text() const {
    std::string text;
    text.reserve(size_);
    for (const Piece& piece : pieces_) {
        text += piece.view();
    }
    return text;
}

void BufferChain::clear() {
    pieces_.clear();
    size_ = 0;
}

}  // namespace micaroad::protocol
