#include "decision/proxy_groups.hpp"

#include <algorithm>

namespace micaroad::decision {

bool ProxyGroup::is_unsent(const ServerId& server) const {
    return std::ranges::any_of(unsent_entries,
                               [&](const auto& unsent) { return unsent.first.server == server; });
}

std::size_t ProxyGroup::count_unsent(WindowUse use) const {
    const auto entries = std::ranges::count_if(
        unsent_entries, [use](const auto& unsent) { return unsent.second == use; });
    return static_cast<std::size_t>(entries) + (unsent_admission == use ? 1 : 0);
}

void ProxyGroups::reset(std::size_t subset_count, std::size_t next_table_set) {
    next_table_set_ = next_table_set;
    groups_.assign(subset_count, {});
    for (std::size_t subset = 0; subset < subset_count; ++subset) {
        groups_[subset].subset = subset;
        groups_[subset].table_set = subset;
    }
}

std::optional<std::size_t> ProxyGroups::find_with_room(std::size_t subset,
                                                       std::size_t max_proxies) const {
    const auto found = std::ranges::find_if(groups_, [&](const ProxyGroup& group) {
        return group.subset == subset && group.proxies.size() < max_proxies;
    });
    if (found == groups_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - groups_.begin());
}

std::size_t ProxyGroups::add_group(std::size_t subset) {
    ProxyGroup& group = groups_.emplace_back();
    group.subset = subset;
    group.table_set = next_table_set_;
    ++next_table_set_;
    return groups_.size() - 1;
}

void ProxyGroups::mark_unsent(std::size_t subset, const TableEntryKey& entry, WindowUse use) {
    for (ProxyGroup& group : groups_) {
        if (group.subset != subset) {
            continue;
        }
        const auto [unsent, added] = group.unsent_entries.try_emplace(entry, use);
        unsent->second = std::min(unsent->second, use);
    }
}

void ProxyGroups::mark_admission_unsent(WindowUse use) {
    for (ProxyGroup& group : groups_) {
        group.unsent_admission = std::min(group.unsent_admission.value_or(use), use);
    }
}

bool ProxyGroups::is_unsent(const ServerId& server) const {
    return std::ranges::any_of(groups_,
                               [&](const ProxyGroup& group) { return group.is_unsent(server); });
}

bool ProxyGroups::any_unsent() const {
    return std::ranges::any_of(groups_, [](const ProxyGroup& group) {
        return !group.unsent_entries.empty() || group.unsent_admission;
    });
}

bool ProxyGroups::any_unsent(WindowUse use) const {
    return std::ranges::any_of(
        groups_, [use](const ProxyGroup& group) { return group.count_unsent(use) > 0; });
}

}  // namespace micaroad::decision
