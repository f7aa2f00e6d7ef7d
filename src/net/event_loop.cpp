#include "net/event_loop.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace micaroad::net {

using std::chrono::steady_clock;

EventLoop::EventLoop(ConnectionContext& context, std::function<void(StreamId)> gone)
    : context_(context), gone_(std::move(gone)) {}

bool EventLoop::add(const std::shared_ptr<Connection>& connection) {
    const StreamId id = connection->id();
    const auto due = connection->due();
    connection->watched_by(poller_);
    {
        const std::lock_guard lock(mutex_);
        connections_[id] = connection;
        if (due) {
            due_.emplace(*due, id);
        }
    }
    reach(context_.sync, SyncPoint::connection_listed);
    if (connection->watch()) {
        return true;
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(id);
    return false;
}

void EventLoop::work() {
    const protocol::BufferPool::Lease buffer = context_.reading.take();
    if (!buffer) {
        return context_.log.error("no buffer to read into: nobody is heard");
    }
    Poller::Ready ready[Poller::kMostAtOnce];
    while (!stopping_) {
        const int turns = poller_.wait(ready, wait_ms());
        for (int i = 0; i < turns && !stopping_; ++i) {
            if (const auto connection = find(StreamId{ready[i].token})) {
                serve(connection, ready[i].events, buffer->data(), buffer->size());
            }
        }
        end_overdue(buffer->data(), buffer->size());
    }
}

std::shared_ptr<Connection> EventLoop::find(StreamId id) {
    const std::lock_guard lock(mutex_);
    const auto at = connections_.find(id);
    return at == connections_.end() ? nullptr : at->second;
}

void EventLoop::serve(const std::shared_ptr<Connection>& connection, unsigned events, char* into,
                      std::size_t most) {
    if (events & Poller::kWritable) {
        connection->flush();
    }
    if (!(events & Poller::kReadable)) {
        return;
    }
    const auto before = connection->due();
    if (const auto why = connection->handle(into, most)) {
        return end(connection, *why);
    }
    // Only who was refused just now is due sooner than before.
    if (const auto due = connection->due(); due && before && *due < *before) {
        await(connection->id(), *due);
    }
}

void EventLoop::end(const std::shared_ptr<Connection>& connection, const std::string& why) {
    connection->ended(why);
    {
        const std::lock_guard lock(mutex_);
        connections_.erase(connection->id());
    }
    gone_(connection->id());
}

// Who has spoken meanwhile, or has become what need not speak, gets another date or none. Who has
// spoken and was not heard, as this process had no time, is heard now.
void EventLoop::end_overdue(char* into, std::size_t most) {
    const TimePoint now = steady_clock::now();
    for (;;) {
        std::shared_ptr<Connection> connection;
        {
            const std::lock_guard lock(mutex_);
            if (due_.empty() || due_.begin()->first > now) {
                return;
            }
            const auto at = connections_.find(due_.begin()->second);
            due_.erase(due_.begin());
            if (at == connections_.end()) {
                continue;
            }
            connection = at->second;
        }
        auto due = connection->due();
        if (due && *due <= now) {
            if (const auto why = connection->handle(into, most)) {
                end(connection, *why);
                continue;
            }
            due = connection->due();
        }
        if (due) {
            await(connection->id(), *due);
        }
    }
}

void EventLoop::await(StreamId id, TimePoint due) {
    const std::lock_guard lock(mutex_);
    due_.emplace(due, id);
}

void EventLoop::let_go_all() {
    const std::lock_guard lock(mutex_);
    connections_.clear(), due_.clear();
}

int EventLoop::wait_ms() {
    const std::lock_guard lock(mutex_);
    if (due_.empty()) {
        return static_cast<int>(kLongestWait.count());
    }
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(due_.begin()->first - steady_clock::now());
    return static_cast<int>(std::clamp(left, std::chrono::milliseconds{0}, kLongestWait).count());
}

}  // namespace micaroad::net
