#include "routing/route_index.hpp"

#include <queue>

namespace micaroad::routing {
namespace {

struct Anchor {
    enum class On { path, host } on;
    std::string key;  // lower case; a host's turned round
    bool whole = false;
    // How much it leaves out: whole before part, long before short.
    std::size_t strength() const { return key.size() + (whole ? 1'000 : 0); }
};
using Anchors = std::vector<Anchor>;  // any of them holds; none known: nothing

std::string turned(std::string_view text) {
    return {text.rbegin(), text.rend()};
}

std::optional<Anchors> anchors_of(const Match& match);

std::optional<Anchors> of_text(Anchor::On on, const TextMatch& text) {
    const bool host = on == Anchor::On::host;
    const TextWay part = host ? TextWay::suffix : TextWay::prefix;
    if (text.way != TextWay::exact && text.way != part) {
        return std::nullopt;
    }
    Anchors anchors;
    for (const std::string& value : text.values) {
        const std::string low = lower(value);
        anchors.push_back({on, host ? turned(low) : low, text.way == TextWay::exact});
    }
    return anchors;
}

struct Finder {
    std::optional<Anchors> operator()(const AllOf& all) const {  // the strongest part will do
        std::optional<Anchors> best;
        std::size_t strength = 0;
        for (const Match& match : all.of) {
            auto found = anchors_of(match);
            if (!found) {
                continue;
            }
            std::size_t weakest = found->empty() ? 1'000'000 : found->front().strength();
            for (const Anchor& anchor : *found) {
                weakest = std::min(weakest, anchor.strength());
            }
            if (!best || weakest > strength) {
                best = std::move(found), strength = weakest;
            }
        }
        return best;
    }
    std::optional<Anchors> operator()(const AnyOf& any) const {  // each part needs one
        Anchors all;
        for (const Match& match : any.of) {
            const auto found = anchors_of(match);
            if (!found) {
                return std::nullopt;
            }
            all.insert(all.end(), found->begin(), found->end());
        }
        return all;
    }
    std::optional<Anchors> operator()(const HostIs& host) const {
        return of_text(Anchor::On::host, host.text);
    }
    std::optional<Anchors> operator()(const PathIs& path) const {
        return of_text(Anchor::On::path, path.text);
    }
    // The host as the client names it, if that is all of it: its plain form is then known too.
    std::optional<Anchors> operator()(const HeaderIs& header) const {
        if (lower(header.name) != "host" || header.text.way != TextWay::exact) {
            return std::nullopt;
        }
        Anchors anchors;
        for (const std::string& value : header.text.values) {
            anchors.push_back({Anchor::On::host, turned(plain_host(value)), true});
        }
        return anchors;
    }
    template <class Other>
    std::optional<Anchors> operator()(const Other&) const {
        return std::nullopt;
    }
};

std::optional<Anchors> anchors_of(const Match& match) {
    return std::visit(Finder{}, match.is);
}

}  // namespace

RouteIndex::RouteIndex(const std::vector<Route>& routes) : routes_(routes) {
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto number = static_cast<Trie::Number>(i);
        const auto anchors = anchors_of(routes[i].when);
        if (!anchors) {
            always_.push_back(number);
            continue;
        }
        for (const Anchor& anchor : *anchors) {
            (anchor.on == Anchor::On::path ? paths_ : hosts_).add(anchor.key, number, anchor.whole);
        }
    }
}

std::optional<std::size_t> RouteIndex::first(const Rpc& rpc, const UsableCount& usable,
                                             std::size_t* asked) const {
    // Lists in rising order each: the lowest head of all is asked next.
    using Duration = std::pair<const Trie::Number*, const Trie::Number*>;
    const auto later = [](const Duration& a, const Duration& b) { return *a.first > *b.first; };
    std::vector<Duration> room;
    room.reserve(16);
    std::priority_queue<Duration, std::vector<Duration>, decltype(later)> lists(later,
                                                                                std::move(room));
    const auto take = [&lists](const Trie::Numbers& numbers) {
        if (!numbers.empty()) {
            lists.emplace(numbers.data(), numbers.data() + numbers.size());
        }
    };
    take(always_);
    paths_.look_up(lower(rpc.path), take);
    if (!rpc.host.empty()) {
        hosts_.look_up(turned(plain_host(rpc.host)), take);
    }
    std::optional<Trie::Number> last;
    while (!lists.empty()) {
        auto [at, end] = lists.top();
        lists.pop();
        if (last != *at) {
            last = *at;
            if (asked != nullptr) {
                ++*asked;
            }
            if (fits(routes_[*at].when, rpc, usable)) {
                return *at;
            }
        }
        if (++at != end) {
            lists.emplace(at, end);
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> first_by_list(const std::vector<Route>& routes, const Rpc& rpc,
                                         const UsableCount& usable) {
    for (std::size_t i = 0; i < routes.size(); ++i) {
        if (fits(routes[i].when, rpc, usable)) {
            return i;
        }
    }
    return std::nullopt;
}

}  // namespace micaroad::routing
