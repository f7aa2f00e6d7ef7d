#include "routing/route_index.hpp"

#include <algorithm>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace micaroad::routing {
namespace {

// A necessary condition of a route: the RPC's path or host equals the key or begins with it.
struct Anchor {
    enum class Field { path, host };

    Field field;
    std::string key;  // in lower case; a host is reversed
    Trie::KeyMatch match = Trie::KeyMatch::prefix;
};

// At least one of them must hold for the condition to match.
using Anchors = std::vector<Anchor>;

// Selectivity estimates how many RPCs an anchor excludes: a whole key excludes more than a prefix,
// and a longer key more than a shorter one.
constexpr std::size_t kWholeSelectivity = 1'000;
constexpr std::size_t kNeverMatches = 1'000'000;  // selectivity of an empty list

std::size_t selectivity(const Anchor& anchor) {
    return anchor.key.size() + (anchor.match == Trie::KeyMatch::whole ? kWholeSelectivity : 0);
}

// The selectivity of the least selective anchor.
std::size_t selectivity(const Anchors& anchors) {
    if (anchors.empty()) {
        return kNeverMatches;
    }
    std::size_t least = selectivity(anchors.front());
    for (const Anchor& anchor : anchors) {
        least = std::min(least, selectivity(anchor));
    }
    return least;
}

std::string reversed(std::string_view text) {
    return {text.rbegin(), text.rend()};
}

std::optional<Anchors> find_anchors(const Match& match);

std::optional<Anchors> text_anchors(Anchor::Field field, const TextMatch& text) {
    const bool is_host = field == Anchor::Field::host;
    const TextMatchKind partial = is_host ? TextMatchKind::suffix : TextMatchKind::prefix;
    if (text.kind != TextMatchKind::exact && text.kind != partial) {
        return std::nullopt;
    }
    const Trie::KeyMatch match =
        text.kind == TextMatchKind::exact ? Trie::KeyMatch::whole : Trie::KeyMatch::prefix;
    Anchors anchors;
    for (const std::string& value : text.values) {
        std::string key = to_lower(value);
        if (is_host) {
            key = reversed(key);
        }
        anchors.push_back({.field = field, .key = std::move(key), .match = match});
    }
    return anchors;
}

// Finds the anchors of a condition. Absent: there are none, as it may match any path and host.
struct AnchorFinder {
    // All conditions must match, so the anchors of the most selective one suffice.
    std::optional<Anchors> operator()(const AllOf& all) const {
        std::optional<Anchors> best;
        std::size_t best_selectivity = 0;
        for (const Match& match : all.conditions) {
            std::optional<Anchors> found = find_anchors(match);
            if (!found) {
                continue;
            }
            const std::size_t found_selectivity = selectivity(*found);
            if (!best || found_selectivity > best_selectivity) {
                best = std::move(found);
                best_selectivity = found_selectivity;
            }
        }
        return best;
    }

    // Any condition may match, so each one needs anchors.
    std::optional<Anchors> operator()(const AnyOf& any) const {
        Anchors anchors;
        for (const Match& match : any.conditions) {
            const std::optional<Anchors> found = find_anchors(match);
            if (!found) {
                return std::nullopt;
            }
            anchors.insert(anchors.end(), found->begin(), found->end());
        }
        return anchors;
    }

    std::optional<Anchors> operator()(const HostIs& host) const {
        return text_anchors(Anchor::Field::host, host.text);
    }

    std::optional<Anchors> operator()(const PathIs& path) const {
        return text_anchors(Anchor::Field::path, path.text);
    }

    // An exact Host header also determines the normalized host.
    std::optional<Anchors> operator()(const HeaderIs& header) const {
        if (to_lower(header.name) != "host" || header.text.kind != TextMatchKind::exact) {
            return std::nullopt;
        }
        Anchors anchors;
        for (const std::string& value : header.text.values) {
            anchors.push_back({.field = Anchor::Field::host,
                               .key = reversed(normalized_host(value)),
                               .match = Trie::KeyMatch::whole});
        }
        return anchors;
    }

    template <class Other>
    std::optional<Anchors> operator()(const Other& /*condition*/) const {
        return std::nullopt;
    }
};

std::optional<Anchors> find_anchors(const Match& match) {
    return std::visit(AnchorFinder{}, match.is);
}

// The remaining part of a list of route numbers in ascending order; never empty.
struct RemainingNumbers {
    const Trie::Number* next;
    const Trie::Number* end;
};

// Orders a heap whose top is the list with the lowest next number.
struct HasLaterNext {
    bool operator()(const RemainingNumbers& left, const RemainingNumbers& right) const {
        return *left.next > *right.next;
    }
};

constexpr std::size_t kInitialListCapacity = 16;

}  // namespace

RouteIndex::RouteIndex(const std::vector<Route>& routes) : routes_(routes) {
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto number = static_cast<Trie::Number>(i);
        const std::optional<Anchors> anchors = find_anchors(routes[i].match);
        if (!anchors) {
            unanchored_.push_back(number);
            continue;
        }
        for (const Anchor& anchor : *anchors) {
            Trie& trie = anchor.field == Anchor::Field::path ? paths_ : hosts_;
            trie.add(anchor.key, number, anchor.match);
        }
    }
}

std::optional<std::size_t> RouteIndex::find_first(const Rpc& rpc, const UsableCount& usable_count,
                                                  std::size_t* tried_count) const {
    std::vector<RemainingNumbers> storage;
    storage.reserve(kInitialListCapacity);
    std::priority_queue<RemainingNumbers, std::vector<RemainingNumbers>, HasLaterNext> lists(
        HasLaterNext{}, std::move(storage));
    const auto add_list = [&lists](const Trie::Numbers& numbers) {
        if (!numbers.empty()) {
            lists.push({numbers.data(), numbers.data() + numbers.size()});
        }
    };
    add_list(unanchored_);
    paths_.look_up(to_lower(rpc.path), add_list);
    if (!rpc.host.empty()) {
        hosts_.look_up(reversed(normalized_host(rpc.host)), add_list);
    }
    std::optional<Trie::Number> last_tried;  // a route may occur in several lists
    while (!lists.empty()) {
        RemainingNumbers list = lists.top();
        lists.pop();
        const Trie::Number number = *list.next;
        if (last_tried != number) {
            last_tried = number;
            if (tried_count != nullptr) {
                ++*tried_count;
            }
            if (matches(routes_[number].match, rpc, usable_count)) {
                return number;
            }
        }
        ++list.next;
        if (list.next != list.end) {
            lists.push(list);
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> find_first_by_scan(const std::vector<Route>& routes, const Rpc& rpc,
                                              const UsableCount& usable_count) {
    for (std::size_t i = 0; i < routes.size(); ++i) {
        if (matches(routes[i].match, rpc, usable_count)) {
            return i;
        }
    }
    return std::nullopt;
}

}  // namespace micaroad::routing
