// Buffers of one size, used again, and never more of them than was said at the start.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace micaroad::protocol {

class Pool {
   public:
    static constexpr std::size_t kBlock = 16 * 1024;
    using Block = std::array<char, kBlock>;
    struct Return {
        Pool* pool = nullptr;
        void operator()(Block* block) const { pool->put(block); }
    };
    using Lease = std::unique_ptr<Block, Return>;  // none outlives the pool

    explicit Pool(std::size_t most) : most_(most) {}
    Pool(const Pool&) = delete;
    Pool& operator=(const Pool&) = delete;

    // Empty when all are out.
    Lease take() {
        const std::lock_guard lock(mutex_);
        if (idle_.empty()) {
            if (made_ == most_) return Lease{nullptr, Return{this}};
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
class Chain {
   public:
    // False, with nothing appended, when the pool has too few buffers left.
    bool append(Pool& pool, std::string_view bytes) {
        std::vector<Pool::Lease> more;
        const std::size_t room = blocks_.size() * Pool::kBlock - size_;
        for (std::size_t got = room; got < bytes.size(); got += Pool::kBlock) {
            more.push_back(pool.take());
            if (!more.back()) return false;
        }
        for (auto& lease : more) blocks_.push_back(std::move(lease));
        while (!bytes.empty()) {
            const std::size_t at = size_ % Pool::kBlock;
            const std::size_t part = std::min(bytes.size(), Pool::kBlock - at);
            bytes.copy(blocks_[size_ / Pool::kBlock]->data() + at, part);
            bytes.remove_prefix(part);
            size_ += part;
        }
        return true;
    }
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    void clear() { blocks_.clear(), size_ = 0; }

    template <class Use>  // calls use(std::string_view) for each piece, until one gives false
    bool each_piece(Use use) const {
        for (std::size_t from = 0; from < size_; from += Pool::kBlock) {
            const char* data = blocks_[from / Pool::kBlock]->data();
            if (!use(std::string_view(data, std::min(Pool::kBlock, size_ - from)))) return false;
        }
        return true;
    }

   private:
    std::vector<Pool::Lease> blocks_;
    std::size_t size_ = 0;
};

}  // namespace micaroad::protocol
