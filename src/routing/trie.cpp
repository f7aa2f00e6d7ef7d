#include "routing/trie.hpp"

namespace micaroad::routing {

void Trie::add(std::string_view key, Number number, KeyMatch match) {
    Node& node = nodes_[node_for_key(key)];
    Numbers& numbers = match == KeyMatch::whole ? node.whole : node.prefix;
    if (numbers.empty() || numbers.back() != number) {
        numbers.push_back(number);
    }
}

// Returns the node at which a key ends, creating it if necessary.
std::size_t Trie::node_for_key(std::string_view key) {
    std::size_t node = 0;
    while (!key.empty()) {
        std::vector<Edge>& edges = nodes_[node].edges;
        const auto edge = edge_position(edges, key.front());
        if (edge == edges.end() || edge->first != static_cast<unsigned char>(key.front())) {
            const auto leaf = static_cast<std::uint32_t>(nodes_.size());
            edges.insert(edge, {.label_begin = static_cast<std::uint32_t>(labels_.size()),
                                .label_length = static_cast<std::uint32_t>(key.size()),
                                .child = leaf,
                                .first = static_cast<unsigned char>(key.front())});
            labels_ += key;
            nodes_.emplace_back();
            return leaf;
        }
        const std::string_view text = label(*edge);
        const auto common = static_cast<std::size_t>(
            std::mismatch(text.begin(), text.end(), key.begin(), key.end()).first - text.begin());
        if (common < text.size()) {
            node = split_edge(node, static_cast<std::size_t>(edge - edges.begin()), common);
        } else {
            node = edge->child;
        }
        key.remove_prefix(common);
    }
    return node;
}

// Splits an edge after the first `length` bytes of its label by a new node, which is returned.
std::size_t Trie::split_edge(std::size_t node, std::size_t edge, std::size_t length) {
    Edge& upper = nodes_[node].edges[edge];
    const auto upper_length = static_cast<std::uint32_t>(length);
    const Edge lower{.label_begin = upper.label_begin + upper_length,
                     .label_length = upper.label_length - upper_length,
                     .child = upper.child,
                     .first = static_cast<unsigned char>(label(upper)[length])};
    const std::size_t middle = nodes_.size();
    upper.label_length = upper_length;
    upper.child = static_cast<std::uint32_t>(middle);
    nodes_.emplace_back().edges.push_back(lower);  // invalidates `upper`
    return middle;
}

}  // namespace micaroad::routing
