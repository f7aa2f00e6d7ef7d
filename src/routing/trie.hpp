/// A radix tree from strings to lists of route numbers. It finds the keys that are a prefix of a
/// text or equal to it. A look-up takes at most one step for each byte of the text, regardless of
/// the number of keys.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace micaroad::routing {

/// Concurrent look-ups are safe while no thread adds keys.
class Trie {
 public:
    using Number = std::uint32_t;
    using Numbers = std::vector<Number>;

    enum class KeyMatch {
        prefix,  ///< the key matches every text that begins with it
        whole,   ///< the key matches only the text that equals it
    };

    Trie() : nodes_(1) {}

    /// Adds a number to a key. The numbers of one key must be added in ascending order.
    void add(std::string_view key, Number number, KeyMatch match);

    /// Calls `on_match(const Numbers&)` with the numbers of each key that matches the text. The
    /// numbers are in ascending order and valid until the next add().
    template <class OnMatch>
    void look_up(std::string_view text, OnMatch on_match) const {
        std::size_t index = 0;
        while (true) {
            const Node& node = nodes_[index];
            if (!node.prefix.empty()) {
                on_match(node.prefix);
            }
            if (text.empty()) {
                if (!node.whole.empty()) {
                    on_match(node.whole);
                }
                return;
            }
            const auto edge = edge_position(node.edges, text.front());
            if (edge == node.edges.end() || !text.starts_with(label(*edge))) {
                return;
            }
            text.remove_prefix(edge->label_length);
            index = edge->child;
        }
    }

 private:
    struct Edge {
        std::uint32_t label_begin;   // in labels_
        std::uint32_t label_length;  // at least 1
        std::uint32_t child;         // in nodes_
        unsigned char first;         // first byte of the label; unique within a node
    };
    struct Node {
        std::vector<Edge> edges;  // sorted by first byte
        Numbers prefix;
        Numbers whole;
    };

    [[nodiscard]] std::string_view label(const Edge& edge) const {
        return std::string_view(labels_).substr(edge.label_begin, edge.label_length);
    }

    // The position of the edge that begins with a byte, or at which it would be inserted.
    template <class Edges>
    static auto edge_position(Edges& edges, char first_byte) {
        return std::lower_bound(
            edges.begin(), edges.end(), static_cast<unsigned char>(first_byte),
            [](const Edge& edge, unsigned char byte) { return edge.first < byte; });
    }

    std::size_t node_for_key(std::string_view key);
    std::size_t split_edge(std::size_t node, std::size_t edge, std::size_t length);

    std::vector<Node> nodes_;  // the first is the root
    std::string labels_;       // the labels of all edges, concatenated
};

}  // namespace micaroad::routing
