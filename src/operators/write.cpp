#include <fmt/format.h>
#include <google/protobuf/text_format.h>

#include <sstream>

#include "operators/duration.hpp"
#include "operators/file.hpp"
#include "proto/operators.pb.h"

namespace micaroad::operators {
namespace {

struct MatchWriter {
    Match& to;

    void operator()(const routing::AllOf& all) const { fill(*to.mutable_all_of(), all.of); }
    void operator()(const routing::AnyOf& any) const { fill(*to.mutable_any_of(), any.of); }
    void operator()(const routing::Not& none) const {
        std::visit(MatchWriter{*to.mutable_not_()}, none.of.at(0).is);
    }
    void operator()(const routing::HostIs& host) const { fill(*to.mutable_host(), host.text); }
    void operator()(const routing::PathIs& path) const { fill(*to.mutable_path(), path.text); }
    void operator()(const routing::MethodIs& method) const {
        for (const auto& name : method.names) {
            to.mutable_method()->add_value(name);
        }
    }
    void operator()(const routing::HeaderIs& header) const {
        to.mutable_header()->set_name(header.name);
        fill(*to.mutable_header()->mutable_text(), header.text);
    }
    void operator()(const routing::SourceIn& source) const {
        for (const auto& network : source.networks) {
            to.mutable_source()->add_value(network.text());
        }
    }
    void operator()(const routing::UsableServers& usable) const {
        to.mutable_usable_servers()->set_pool(usable.pool);
        if (usable.least > 0) {
            to.mutable_usable_servers()->set_least(static_cast<std::uint32_t>(usable.least));
        }
        if (usable.most < 1'000'000) {
            to.mutable_usable_servers()->set_most(static_cast<std::uint32_t>(usable.most));
        }
    }

    static void fill(Matches& to, const routing::Matches& from) {
        for (const auto& match : from) {
            std::visit(MatchWriter{*to.add_match()}, match.is);
        }
    }
    static void fill(Text& to, const routing::TextMatch& from) {
        using routing::TextWay;
        for (const std::string& value : from.values) {
            switch (from.way) {
                case TextWay::exact:
                    to.add_exact(value);
                    break;
                case TextWay::prefix:
                    to.add_prefix(value);
                    break;
                case TextWay::suffix:
                    to.add_suffix(value);
                    break;
                case TextWay::contains:
                    to.add_contains(value);
                    break;
                case TextWay::present:
                    break;
            }
        }
        if (from.way == TextWay::present) {
            to.set_present(true);
        }
        if (from.any_case) {
            to.set_any_case(true);
        }
    }
};

std::uint32_t u(int number) {
    return static_cast<std::uint32_t>(number);
}

void fill(Listener& to, const routing::Listener& from) {
    to.set_name(from.name);
    for (const auto& address : from.addresses) {
        to.add_address(address);
    }
    if (from.connections_most > 0) {
        to.set_connections_most(u(from.connections_most));
    }
    for (const auto& route : from.routes) {
        Route& out = *to.add_route();
        out.set_name(route.name);
        const auto* all = std::get_if<routing::AllOf>(&route.when.is);
        if (all == nullptr || !all->of.empty()) {
            std::visit(MatchWriter{*out.mutable_when()}, route.when.is);
        }
        if (const auto* pool = std::get_if<routing::ToPool>(&route.then)) {
            out.set_pool(pool->pool);
        }
        if (const auto* away = std::get_if<routing::TurnAway>(&route.then)) {
            out.mutable_turn_away()->set_status(u(away->status));
        }
        if (const auto* redirect = std::get_if<routing::Redirect>(&route.then)) {
            out.mutable_redirect()->set_location(redirect->location);
            out.mutable_redirect()->set_status(u(redirect->status));
        }
    }
    if (!from.default_pool.empty()) {
        to.set_default_pool(from.default_pool);
    }
}

void fill(Server& to, const routing::Server& from) {
    to.set_name(from.name);
    to.set_address(from.address);
    if (from.weight != 1) {
        to.set_weight(u(from.weight));
    }
    if (from.tier == routing::Tier::backup) {
        to.set_tier(BACKUP);
    }
    if (from.state != routing::State::ready) {
        to.set_state(from.state == routing::State::draining   ? DRAINING
                     : from.state == routing::State::disabled ? DISABLED
                                                              : MAINTENANCE);
    }
    if (from.connections_most > 0) {
        to.set_connections_most(u(from.connections_most));
    }
    if (from.queue_most > 0) {
        to.set_queue_most(u(from.queue_most));
    }
    if (from.slow_start > Duration{}) {
        to.set_slow_start(text_of(from.slow_start));
    }
    if (!from.health_of.empty()) {
        to.set_health_of(from.health_of);
    }
    if (!from.mark.empty()) {
        to.set_mark(from.mark);
    }
    if (from.checked) {
        to.set_checked(true);
    }
}

void fill(HealthRule& to, const routing::HealthRule& from) {
    const routing::HealthRule usual;
    if (from.every != usual.every) {
        to.set_every(text_of(from.every));
    }
    if (from.every_in_doubt > Duration{}) {
        to.set_every_in_doubt(text_of(from.every_in_doubt));
    }
    if (from.every_while_down > Duration{}) {
        to.set_every_while_down(text_of(from.every_while_down));
    }
    if (from.patience > Duration{}) {
        to.set_patience(text_of(from.patience));
    }
    if (from.rise != usual.rise) {
        to.set_rise(u(from.rise));
    }
    if (from.fall != usual.fall) {
        to.set_fall(u(from.fall));
    }
    if (from.errors_most != usual.errors_most) {
        to.set_errors_most(u(from.errors_most));
    }
    if (from.kind != routing::HealthRule::Kind::http) {
        return;
    }
    HealthRule::Http& http = *to.mutable_http();
    if (from.http_method != usual.http_method) {
        http.set_method(from.http_method);
    }
    if (from.http_path != usual.http_path) {
        http.set_path(from.http_path);
    }
    if (!from.http_host.empty()) {
        http.set_host(from.http_host);
    }
    if (from.status_least != usual.status_least) {
        http.set_status_least(u(from.status_least));
    }
    if (from.status_most != usual.status_most) {
        http.set_status_most(u(from.status_most));
    }
}

void fill(Stickiness& to, const routing::Stickiness& from) {
    using By = routing::Stickiness::By;
    to.set_by(from.by == By::source   ? Stickiness::SOURCE
              : from.by == By::path   ? Stickiness::PATH
              : from.by == By::header ? Stickiness::HEADER
              : from.by == By::query  ? Stickiness::QUERY
              : from.by == By::cookie ? Stickiness::COOKIE
                                      : Stickiness::REQUEST);
    if (!from.name.empty()) {
        to.set_name(from.name);
    }
    if (from.path_depth > 0) {
        to.set_path_depth(u(from.path_depth));
    }
    if (from.path_length > 0) {
        to.set_path_length(u(from.path_length));
    }
    if (from.with_query) {
        to.set_with_query(true);
    }
    if (from.keeps_down) {
        to.set_keeps_down(true);
    }
}

void fill(Pool& to, const routing::Pool& from) {
    const routing::Pool usual;
    to.set_name(from.name);
    for (const auto& server : from.servers) {
        fill(*to.add_server(), server);
    }
    if (from.all_backups) {
        to.set_all_backups(true);
    }
    if (from.connections_most > 0) {
        to.set_connections_most(u(from.connections_most));
    }
    if (from.queue_patience != usual.queue_patience) {
        to.set_queue_patience(text_of(from.queue_patience));
    }
    if (from.connect_within != usual.connect_within) {
        to.set_connect_within(text_of(from.connect_within));
    }
    if (from.answer_within != usual.answer_within) {
        to.set_answer_within(text_of(from.answer_within));
    }
    if (from.further != usual.further) {
        using routing::FurtherTries;
        auto& further = *to.mutable_further_tries();
        further.set_most(u(from.further.most));
        if (from.further.proof == FurtherTries::Proof::pushed_back) {
            further.set_proof(operators::FurtherTries::PUSHED_BACK);
        }
        if (from.further.proof == FurtherTries::Proof::any_failure) {
            further.set_proof(operators::FurtherTries::ANY_FAILURE);
        }
        if (from.further.where == FurtherTries::Where::same) {
            further.set_where(operators::FurtherTries::SAME);
        }
        if (from.further.where == FurtherTries::Where::other) {
            further.set_where(operators::FurtherTries::OTHER);
        }
    }
    if (from.stickiness.by != routing::Stickiness::By::none) {
        fill(*to.mutable_stickiness(), from.stickiness);
    }
    if (from.health != routing::HealthRule{}) {
        fill(*to.mutable_health(), from.health);
    }
}

void fill(Planner& to, const routing::Service& from) {
    const routing::Service usual;
    if (from.name != usual.name) {
        to.set_name(from.name);
    }
    if (from.listen != usual.listen) {
        to.set_listen(from.listen);
    }
    if (from.proxies != usual.proxies) {
        to.set_proxies(u(from.proxies));
    }
    if (from.lines_per_second != usual.lines_per_second) {
        to.set_lines_per_second(u(from.lines_per_second));
    }
    if (from.lines_per_message != usual.lines_per_message) {
        to.set_lines_per_message(u(from.lines_per_message));
    }
    if (from.lines_waiting_most != usual.lines_waiting_most) {
        to.set_lines_waiting_most(u(from.lines_waiting_most));
    }
    if (from.report_every != usual.report_every) {
        to.set_report_every(text_of(from.report_every));
    }
    if (from.message_longest != usual.message_longest) {
        to.set_message_longest(text_of(from.message_longest));
    }
    if (from.drain_grace != usual.drain_grace) {
        to.set_drain_grace(text_of(from.drain_grace));
    }
    if (from.memory_mb != usual.memory_mb) {
        to.set_memory_mb(u(from.memory_mb));
    }
    if (from.sockets != usual.sockets) {
        to.set_sockets(u(from.sockets));
    }
}

void fill(Recording& to, const routing::Recording& from) {
    const routing::Recording usual;
    to.set_path(from.path);
    if (from.segment_mb != usual.segment_mb) {
        to.set_segment_mb(u(from.segment_mb));
    }
    if (from.all_mb != usual.all_mb) {
        to.set_all_mb(u(from.all_mb));
    }
    if (from.keep != usual.keep) {
        to.set_keep(text_of(from.keep));
    }
    if (from.kib_per_second != usual.kib_per_second) {
        to.set_kib_per_second(u(from.kib_per_second));
    }
    if (from.processor_percent != usual.processor_percent) {
        to.set_processor_percent(u(from.processor_percent));
    }
}

}  // namespace

std::string write_text(const routing::Plan& plan, std::string_view heading) {
    Installation file;
    for (const auto& listener : plan.listeners) {
        fill(*file.add_listener(), listener);
    }
    for (const auto& pool : plan.pools) {
        fill(*file.add_pool(), pool);
    }
    if (plan.service != routing::Service{}) {
        fill(*file.mutable_planner(), plan.service);
    }
    if (!plan.recording.path.empty()) {
        fill(*file.mutable_recording(), plan.recording);
    }
    std::string text;
    std::istringstream lines{std::string(heading)};
    for (std::string line; std::getline(lines, line);) {
        text += line.empty() ? "#\n" : "# " + line + "\n";
    }
    std::string body;
    google::protobuf::TextFormat::Printer printer;
    printer.SetUseUtf8StringEscaping(true);
    printer.PrintToString(file, &body);
    return text + body;
}

}  // namespace micaroad::operators
