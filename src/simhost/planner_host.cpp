#include "simhost/planner_host.hpp"

#include <algorithm>
#include <exception>
#include <utility>
#include <variant>

namespace micaroad::simhost {

void PlannerHost::apply(const Launch& launch, Instance& instance) {
    instance = Instance{};
    if (!launch.settings) {
        instance.failure = launch.settings.error();
        return;
    }
    try {
        instance.planner.emplace(*launch.settings, launch.seed);
    } catch (const std::exception& failure) {
        instance = Instance{.planner = std::nullopt, .failure = failure.what()};
    }
}

void PlannerHost::apply(Event&& event, Instance& instance) {
    if (!instance.planner) {
        return;
    }
    try {
        instance.planner->handle(std::move(event));
    } catch (const std::exception& failure) {
        instance = Instance{.planner = std::nullopt, .failure = failure.what()};
    }
}

// Applies all messages. Returns the planners that must decide, in the order of their first message
// since their last kill.
std::vector<std::string> PlannerHost::apply_all(std::vector<Message> messages) {
    std::vector<std::string> addressed;
    for (Message& message : messages) {
        const std::string& planner = message.planner;
        if (std::holds_alternative<Kill>(message.command)) {
            instances_.erase(planner);
            std::erase(addressed, planner);
            continue;
        }
        if (std::find(addressed.begin(), addressed.end(), planner) == addressed.end()) {
            addressed.push_back(planner);
        }
        Instance& instance = instances_[planner];
        if (const auto* launch = std::get_if<Launch>(&message.command)) {
            apply(*launch, instance);
        } else {
            apply(std::get<Event>(std::move(message.command)), instance);
        }
    }
    return addressed;
}

tl::expected<std::string, WireError> PlannerHost::answer(const std::string& line) {
    tl::expected<Batch, WireError> batch = parse_batch(line);
    if (!batch) {
        return tl::unexpected(std::move(batch.error()));
    }
    nlohmann::json actions = nlohmann::json::array();
    for (const std::string& name : apply_all(std::move(batch->messages))) {
        Instance& instance = instances_[name];
        try {
            if (instance.planner) {
                for (const Order& order : instance.planner->decide(batch->now)) {
                    actions.push_back(format_order(name, order));
                }
            }
        } catch (const std::exception& failure) {
            instance = Instance{.planner = std::nullopt, .failure = failure.what()};
        }
        if (!instance.failure.empty()) {
            actions.push_back(format_failure(name, instance.failure));
        }
    }
    return format_reply(std::move(actions));
}

}  // namespace micaroad::simhost
