// Takes events to the parts of the decision module as notes, and orders back: one loop, one timer. It decides nothing.
#include <map>

#include "balance.hpp"

namespace micaroad {

using namespace decisions;

class Planner::Impl {
   public:
    Impl(Terms terms, std::uint64_t seed)
        : desk_{std::move(terms), std::minstd_rand(static_cast<std::minstd_rand::result_type>(seed))} {
        desk_.orders.push_back(order::StartTimer{kTimer, kTick});
        if (desk_.terms.must_subscribe) agenda_.emplace(Instant{}, Resubscribe{});
    }

    void hear(Event event) { heard_.push_back(std::move(event)); }

    std::vector<Order> decide(Instant now) {
        desk_.now = now;
        for (Event& event : std::exchange(heard_, {})) std::visit([this](auto& e) { apply(e); }, event);
        for (; !agenda_.empty() && agenda_.begin()->first <= now; agenda_.erase(agenda_.begin())) {
            channel_.inbox.push_back(agenda_.begin()->second);
        }
        // Servers speak first, the channel last: when all else is said.
        for (Server* actor : std::exchange(spoken_to_, {})) empty(*actor);
        keeper_.inbox.push_back(Pulse{}), gate_.inbox.push_back(Pulse{}), weigher_.inbox.push_back(Pulse{});
        empty_all(keeper_, gate_, weigher_, channel_);
        channel_.inbox.push_back(Pulse{});
        empty(channel_);
        return std::exchange(desk_.orders, {});
    }

   private:
    static constexpr TimerId kTimer{1};

    void apply(event::List& list) {
        if (list.form == event::List::Form::unavailable) {
            return (void)agenda_.emplace(desk_.now + resubscribe_after(desk_), Resubscribe{});
        }
        std::set<ServerId> named;
        for (const ListedServer& entry : list.servers) {
            if (entry.server.value.empty()) continue;
            named.insert(entry.server);
            const auto at = servers_.try_emplace(entry.server, Part{}, desk_, weigher_, keeper_, gate_).first;
            tell(at->second, Listed{entry, !heard_any_});
        }
        heard_any_ = true;
        if (list.form == event::List::Form::changes) return;
        for (auto& [id, actor] : servers_) if (!named.contains(id)) tell(actor, Unlisted{});
    }
    void apply(event::TimerDue& due) {
        if (due.timer == kTimer) desk_.orders.push_back(order::StartTimer{kTimer, kTick});
        if (due.timer != kTimer || desk_.now < next_step_) return;
        next_step_ = desk_.now + desk_.step;
        std::erase_if(servers_, [](auto& at) { return at.second.inbox.empty() && at.second.self.gone(); });
        gate_.inbox.push_back(Beat{});
        for (auto& [id, actor] : servers_) tell(actor, Beat{});
    }
    void apply(event::Outcomes& met) {
        const auto at = servers_.find(met.server);
        met.bad = std::min(met.bad, met.tries);
        if (at == servers_.end() || !sound(met, desk_.terms)) return;
        tell(at->second, met), channel_.inbox.push_back(met);
    }
    template <class Other>
    void apply(Other& event) {  // what can't be meant, or means nothing to any part, is not acted on
        if (!sound(event, desk_.terms)) return;
        const auto offer = [&event](auto& part) {
            if constexpr (requires { part.on(event); }) part.inbox.push_back(event);
        };
        offer(keeper_), offer(gate_), offer(weigher_), offer(channel_);
    }

    void tell(Server& server, Note note) {
        server.inbox.push_back(std::move(note)), spoken_to_.push_back(&server);
    }
    Desk desk_;
    Instant next_step_{};
    std::multimap<Instant, Note> agenda_;  // every due time but the periodic one
    std::vector<Event> heard_;
    bool heard_any_ = false;  // a list
    Channel channel_{{}, desk_};
    Gate gate_{{}, desk_, weigher_, channel_};
    Weigher weigher_{desk_, channel_};
    SliceKeeper keeper_{{}, desk_, channel_};
    std::map<ServerId, Server> servers_;
    std::vector<Server*> spoken_to_;
};

Planner::Planner(Terms terms, std::uint64_t seed) : impl_(std::make_shared<Impl>(std::move(terms), seed)) {}
void Planner::hear(Event event) { impl_->hear(std::move(event)); }
std::vector<Order> Planner::decide(Instant now) { return impl_->decide(now); }

}  // namespace micaroad
