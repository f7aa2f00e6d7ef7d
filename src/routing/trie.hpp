// A radix tree from strings to lists of route numbers, made for one question: which keys are a
// prefix of this text, and is one of them the whole text? Read-only after building but for add();
// numbers come out in the order of routes.
//
// Nodes stand in one vector; edges of a node are sorted by their first byte, which differs within a
// node. A look-up takes one step a byte of text at most, whatever the number of keys.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace micaroad::routing {

class Trie {
 public:
    using Number = std::uint32_t;
    using Numbers = std::vector<Number>;

    Trie() : nodes_(1) {}

    // Numbers of one key are to be added in rising order.
    void add(std::string_view key, Number number, bool whole) {
        const std::size_t node = node_of(key);
        Numbers& list = whole ? nodes_[node].whole : nodes_[node].prefix;
        if (list.empty() || list.back() != number) {
            list.push_back(number);
        }
    }

    // Calls found(const Numbers&) for each key that the text begins with (or is, for keys that are
    // to be whole).
    template <class Found>
    void look_up(std::string_view text, Found found) const {
        std::size_t at = 0;
        for (;;) {
            const Node& node = nodes_[at];
            if (!node.prefix.empty()) {
                found(node.prefix);
            }
            if (text.empty()) {
                if (!node.whole.empty()) {
                    found(node.whole);
                }
                return;
            }
            const Edge* edge = edge_from(node, text.front());
            if (edge == nullptr || !text.starts_with(label(*edge))) {
                return;
            }
            text.remove_prefix(edge->length), at = edge->to;
        }
    }

    // Nodes and bytes held, for measurements.
    std::size_t nodes() const { return nodes_.size(); }

 private:
    struct Edge {  // its label stands in labels_
        std::uint32_t from, length, to;
        unsigned char first;
    };
    struct Node {
        std::vector<Edge> edges;
        Numbers prefix, whole;
    };

    std::string_view label(const Edge& edge) const {
        return std::string_view(labels_).substr(edge.from, edge.length);
    }
    static const Edge* edge_from(const Node& node, char first) {
        const auto byte = static_cast<unsigned char>(first);
        const auto at =
            std::lower_bound(node.edges.begin(), node.edges.end(), byte,
                             [](const Edge& edge, unsigned char b) { return edge.first < b; });
        return at != node.edges.end() && at->first == byte ? &*at : nullptr;
    }

    // The node where a key ends, made if need be: an edge that goes on past it is cut in two.
    std::size_t node_of(std::string_view key) {
        std::size_t at = 0;
        while (!key.empty()) {
            Edge* edge = const_cast<Edge*>(edge_from(nodes_[at], key.front()));
            if (edge == nullptr) {
                const auto from = static_cast<std::uint32_t>(labels_.size());
                labels_ += key;
                nodes_.emplace_back();
                const Edge made{from, static_cast<std::uint32_t>(key.size()),
                                static_cast<std::uint32_t>(nodes_.size() - 1),
                                static_cast<unsigned char>(key[0])};
                auto& edges = nodes_[at].edges;
                edges.insert(std::lower_bound(
                                 edges.begin(), edges.end(), made,
                                 [](const Edge& a, const Edge& b) { return a.first < b.first; }),
                             made);
                return made.to;
            }
            const std::string_view text = label(*edge);
            const auto common = static_cast<std::uint32_t>(
                std::mismatch(text.begin(), text.end(), key.begin(), key.end()).first -
                text.begin());
            if (common < text.size()) {
                const Edge rest{edge->from + common, edge->length - common, edge->to,
                                static_cast<unsigned char>(text[common])};
                edge->length = common, edge->to = static_cast<std::uint32_t>(nodes_.size());
                nodes_.emplace_back().edges.push_back(rest);  // edge is not valid past this
                at = nodes_.size() - 1;
            } else {
                at = edge->to;
            }
            key.remove_prefix(common);
        }
        return at;
    }

    std::vector<Node> nodes_;
    std::string labels_;
};

}  // namespace micaroad::routing
