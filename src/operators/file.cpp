#include "operators/file.hpp"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "operators/duration.hpp"
#include "operators/text_parser.hpp"
#include "proto/operators.pb.h"

namespace micaroad::operators {
namespace {

namespace pb = google::protobuf;
using Tree = pb::TextFormat::ParseInfoTree;

constexpr std::string_view kNameAllowed = "letters, digits and ._-:, 128 at most";

// A message of the file with its place; faults are told of its fields.
class Spot {
 public:
    Spot(const pb::Message& message, const Tree* tree, Fault place, std::vector<Fault>& faults)
        : message_(&message), tree_(tree), place_(std::move(place)), faults_(&faults) {}

    void fault(const char* field, std::string value, std::string says,
               std::string_view allowed = "", int index = -1) const {
        Fault fault = place_of(field, index);
        fault.value = std::move(value), fault.says = std::move(says), fault.allowed = allowed;
        faults_->push_back(std::move(fault));
    }
    Spot in(const char* field, const pb::Message& message, int index = -1) const {
        const auto* descriptor = message_->GetDescriptor()->FindFieldByName(field);
        const Tree* tree = tree_ ? tree_->GetTreeForNested(descriptor, index) : nullptr;
        return {message, tree, place_of(field, index), *faults_};
    }
    // Every required field that is absent.
    bool whole() const {
        const auto* type = message_->GetDescriptor();
        bool whole = true;
        for (int i = 0; i < type->field_count(); ++i) {
            const auto* field = type->field(i);
            if (!field->is_required() || message_->GetReflection()->HasField(*message_, field)) {
                continue;
            }
            Fault fault = place_;
            fault.value = type->name(), fault.says = fmt::format("it lacks '{}'", field->name());
            faults_->push_back(std::move(fault)), whole = false;
        }
        return whole;
    }
    const Fault& place() const { return place_; }

    std::string name(const char* field, const std::string& value) const {
        const bool sound =
            !value.empty() && value.size() <= 128 &&
            std::all_of(value.begin(), value.end(), [](char c) {
                return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c != 0 && std::string_view("._-:").find(c) != std::string_view::npos);
            });
        if (!sound) {
            fault(field, value, "no name", kNameAllowed);
        }
        return value;
    }
    Duration duration(const char* field, const std::string& value, bool zero_may = false) const {
        const auto span = duration_of(value);
        if (!span) {
            fault(field, value, "no duration", kDurationAllowed);
        }
        if (span && *span == Duration{} && !zero_may) {
            fault(field, value, "no time at all", "more than 0");
        }
        return span.value_or(Duration{});
    }
    int number(const char* field, std::uint32_t value, std::uint32_t least,
               std::uint32_t most) const {
        if (value >= least && value <= most) {
            return static_cast<int>(value);
        }
        fault(field, std::to_string(value), "out of range", fmt::format("{} to {}", least, most));
        return static_cast<int>(std::clamp(value, least, most));
    }

 private:
    Fault place_of(const char* field, int index) const {
        Fault fault = place_;
        const auto* descriptor = message_->GetDescriptor()->FindFieldByName(field);
        if (tree_ == nullptr || descriptor->is_repeated() != (index >= 0)) {
            return fault;
        }
        const auto at = tree_->GetLocation(descriptor, index);
        if (at.line >= 0) {
            fault.line = at.line + 1, fault.column = at.column + 1;
        }
        return fault;
    }

    const pb::Message* message_;
    const Tree* tree_;
    Fault place_;
    std::vector<Fault>* faults_;
};

constexpr std::uint32_t kMostConnections = 2'147'483'647;

bool sound_address(const std::string& text, bool any_host) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::string host = text.substr(0, colon);
    const std::string_view digits = std::string_view(text).substr(colon + 1);
    int port = 0;
    const auto [end, wrong] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (wrong != std::errc{} || end != digits.data() + digits.size() || port < 1 || port > 65'535) {
        return false;
    }
    if (any_host && host == "*") {
        return true;
    }
    const bool brackets = host.starts_with('[') && host.ends_with(']');
    if (brackets) {
        host = host.substr(1, host.size() - 2);
    }
    const auto address = routing::address_of(host);
    return address && address->v4 != brackets;
}

class Reader {
 public:
    Reader(const Installation& file, const Tree& tree, const std::string& name, Reading& reading)
        : file_(file),
          top_(file, &tree, {name, 1, 1, "", "", ""}, reading.faults),
          reading_(reading) {}

    void read() {
        for (int i = 0; i < file_.pool_size(); ++i) {
            pool_names_.insert(file_.pool(i).name());
        }
        for (int i = 0; i < file_.pool_size(); ++i) {
            pool(file_.pool(i), top_.in("pool", file_.pool(i), i));
        }
        for (int i = 0; i < file_.listener_size(); ++i) {
            listener(file_.listener(i), top_.in("listener", file_.listener(i), i));
        }
        if (file_.has_planner()) {
            planner(file_.planner(), top_.in("planner", file_.planner()), reading_.plan.service);
        }
        if (file_.has_recording()) {
            recording(file_.recording(), top_.in("recording", file_.recording()),
                      reading_.plan.recording);
        }
        for (const auto& check : at_the_end_) {
            check();
        }
    }

 private:
    // ---- listeners and routes
    void listener(const Listener& from, const Spot& spot) {
        routing::Listener to;
        if (!spot.whole()) {
            return;
        }
        to.name = spot.name("name", from.name());
        if (!listener_names_.insert(to.name).second) {
            spot.fault("name", to.name, "a second listener of this name");
        }
        for (int i = 0; i < from.address_size(); ++i) {
            if (!sound_address(from.address(i), true)) {
                spot.fault("address", from.address(i), "no address",
                           "host:port, *:port or [IPv6]:port", i);
            }
            to.addresses.push_back(from.address(i));
        }
        if (from.has_connections_most()) {
            to.connections_most =
                spot.number("connections_most", from.connections_most(), 1, kMostConnections);
        }
        std::set<std::string> names;
        for (int i = 0; i < from.route_size(); ++i) {
            route(from.route(i), spot.in("route", from.route(i), i), names, to);
        }
        if (from.has_default_pool()) {
            to.default_pool = pool_name(spot, "default_pool", from.default_pool());
        }
        if (to.routes.empty() && to.default_pool.empty()) {
            reading_.notices.push_back(
                fmt::format("listener {} has neither routes nor a default pool", to.name));
        }
        reading_.plan.listeners.push_back(std::move(to));
    }
    void route(const Route& from, const Spot& spot, std::set<std::string>& names,
               routing::Listener& listener) {
        if (!spot.whole()) {
            return;
        }
        routing::Route to;
        to.name = spot.name("name", from.name());
        if (!names.insert(to.name).second) {
            spot.fault("name", to.name, "a second route of this name here");
        }
        if (from.has_when()) {
            to.when = match(from.when(), spot.in("when", from.when()), 0);
        }
        switch (from.then_case()) {
            case Route::kPool:
                to.then = routing::ToPool{pool_name(spot, "pool", from.pool())};
                break;
            case Route::kTurnAway:
                to.then =
                    routing::TurnAway{spot.in("turn_away", from.turn_away())
                                          .number("status", from.turn_away().status(), 400, 599)};
                break;
            case Route::kRedirect: {
                const Spot inner = spot.in("redirect", from.redirect());
                const std::uint32_t status = from.redirect().status();
                if (!inner.whole()) {
                    break;
                }
                if (status != 301 && status != 302 && status != 303 && status != 307 &&
                    status != 308) {
                    inner.fault("status", std::to_string(status), "no redirect",
                                "301, 302, 303, 307, 308");
                }
                to.then = routing::Redirect{from.redirect().location(), static_cast<int>(status)};
                break;
            }
            case Route::THEN_NOT_SET:
                spot.fault("name", to.name, "the route says nothing of what is done",
                           "pool, turn_away or redirect");
        }
        listener.routes.push_back(std::move(to));
    }
    std::string pool_name(const Spot& spot, const char* field, const std::string& name) {
        if (pool_names_.contains(name)) {
            return name;
        }
        const std::string near = nearest(name, {pool_names_.begin(), pool_names_.end()});
        spot.fault(
            field, name,
            near.empty() ? "no such pool" : fmt::format("no such pool (perhaps '{}')", near));
        return name;
    }
    routing::Match match(const Match& from, const Spot& spot, int depth) {
        using namespace routing;
        switch (from.is_case()) {
            case operators::Match::kAllOf:
                return {AllOf{matches(from.all_of(), spot.in("all_of", from.all_of()), depth)}};
            case operators::Match::kAnyOf:
                return {AnyOf{matches(from.any_of(), spot.in("any_of", from.any_of()), depth)}};
            case operators::Match::kNot:
                return {Not{{match(from.not_(), spot.in("not", from.not_()), depth + 1)}}};
            case operators::Match::kHost: {
                TextMatch host = text(from.host(), spot.in("host", from.host()), false);
                for (std::string& value : host.values) {
                    value = lower(value);
                }
                host.any_case = false;  // hosts are compared in lower case anyway
                return {HostIs{std::move(host)}};
            }
            case operators::Match::kPath:
                return {PathIs{text(from.path(), spot.in("path", from.path()), false)}};
            case operators::Match::kMethod:
                if (from.method().value_size() == 0) {
                    spot.fault("method", "", "no method is named");
                }
                return {MethodIs{{from.method().value().begin(), from.method().value().end()}}};
            case operators::Match::kHeader: {
                const Spot inner = spot.in("header", from.header());
                if (!inner.whole()) {
                    return {};
                }
                return {HeaderIs{
                    inner.name("name", from.header().name()),
                    text(from.header().text(), inner.in("text", from.header().text()), true)}};
            }
            case operators::Match::kSource: {
                SourceIn source;
                const Spot inner = spot.in("source", from.source());
                for (int i = 0; i < from.source().value_size(); ++i) {
                    const auto network = network_of(from.source().value(i));
                    if (network) {
                        source.networks.push_back(*network);
                    } else {
                        inner.fault("value", from.source().value(i), "no network",
                                    "10.0.0.0/8, 10.1.2.3, 2001:db8::/32", i);
                    }
                }
                if (from.source().value_size() == 0) {
                    spot.fault("source", "", "no network is named");
                }
                return {std::move(source)};
            }
            case operators::Match::kUsableServers: {
                const Spot inner = spot.in("usable_servers", from.usable_servers());
                if (!inner.whole()) {
                    return {};
                }
                routing::UsableServers usable;
                usable.pool = pool_name(inner, "pool", from.usable_servers().pool());
                usable.least = inner.number("least", from.usable_servers().least(), 0, 1'000'000);
                usable.most = inner.number("most", from.usable_servers().most(), 0, 1'000'000);
                if (usable.least > usable.most) {
                    inner.fault("least", std::to_string(usable.least), "more than 'most'",
                                fmt::format("0 to {}", usable.most));
                }
                return {std::move(usable)};
            }
            case operators::Match::IS_NOT_SET:
                spot.fault("all_of", "", "a match that says nothing", "one of its fields");
        }
        return {};
    }
    routing::Matches matches(const operators::Matches& from, const Spot& spot, int depth) {
        routing::Matches to;
        for (int i = 0; i < from.match_size(); ++i) {
            to.push_back(match(from.match(i), spot.in("match", from.match(i), i), depth + 1));
        }
        return to;
    }
    routing::TextMatch text(const Text& from, const Spot& spot, bool present_may) {
        using routing::TextWay;
        routing::TextMatch to;
        int kinds = 0;
        const auto take = [&](TextWay way, const auto& values) {
            if (values.empty()) {
                return;
            }
            ++kinds, to.way = way;
            to.values.assign(values.begin(), values.end());
        };
        take(TextWay::exact, from.exact()), take(TextWay::prefix, from.prefix());
        take(TextWay::suffix, from.suffix()), take(TextWay::contains, from.contains());
        if (from.present()) {
            ++kinds, to.way = TextWay::present, to.values.clear();
        }
        if (from.present() && !present_may) {
            spot.fault("present", "true", "for headers alone");
        }
        if (kinds != 1) {
            spot.fault("exact", "", fmt::format("{} kinds of value are set", kinds),
                       "exactly one of exact, prefix, suffix, contains, present");
        }
        to.any_case = from.any_case();
        return to;
    }

    // ---- pools
    void pool(const Pool& from, const Spot& spot) {
        if (!spot.whole()) {
            return;
        }
        routing::Pool to;
        to.name = spot.name("name", from.name());
        if (!seen_pools_.insert(to.name).second) {
            spot.fault("name", to.name, "a second pool of this name");
        }
        to.all_backups = from.all_backups();
        if (from.has_connections_most()) {
            to.connections_most =
                spot.number("connections_most", from.connections_most(), 1, kMostConnections);
        }
        to.queue_patience = spot.duration("queue_patience", from.queue_patience(), true);
        to.connect_within = spot.duration("connect_within", from.connect_within());
        to.answer_within = spot.duration("answer_within", from.answer_within());
        if (from.has_further_tries()) {
            further(from.further_tries(), spot.in("further_tries", from.further_tries()),
                    to.further);
        }
        if (from.has_stickiness()) {
            stickiness(from.stickiness(), spot.in("stickiness", from.stickiness()), to.stickiness);
        }
        if (from.has_health()) {
            health(from.health(), spot.in("health", from.health()), to.health);
        }
        std::set<std::string> names;
        bool any_ready = false, any_weight = false;
        for (int i = 0; i < from.server_size(); ++i) {
            const Spot inner = spot.in("server", from.server(i), i);
            if (!server(from.server(i), inner, to)) {
                continue;
            }
            const routing::Server& server = to.servers.back();
            if (!names.insert(server.name).second) {
                inner.fault("name", server.name, "a second server of this name in the pool");
            }
            any_ready |= server.state == routing::State::ready;
            any_weight |= server.state == routing::State::ready && server.weight > 0;
        }
        if (any_ready && !any_weight) {
            spot.fault("name", to.name, "its shares can't be met: every ready server has weight 0",
                       "a weight over 0, or state: DRAINING");
        }
        if (to.servers.empty()) {
            reading_.notices.push_back(
                fmt::format("pool {} has no servers: what is sent there is turned away", to.name));
        }
        reading_.plan.pools.push_back(std::move(to));
    }
    bool server(const Server& from, const Spot& spot, routing::Pool& pool) {
        if (!spot.whole()) {
            return false;
        }
        routing::Server to;
        to.name = spot.name("name", from.name());
        to.address = from.address();
        if (!sound_address(to.address, false)) {
            spot.fault("address", to.address, "no address",
                       "10.0.0.1:80 or [::1]:80; names need a look-up, which is not done");
        }
        to.weight = spot.number("weight", from.weight(), 0, 256);
        to.tier = from.tier() == BACKUP ? routing::Tier::backup : routing::Tier::active;
        to.state = from.state() == DRAINING      ? routing::State::draining
                   : from.state() == DISABLED    ? routing::State::disabled
                   : from.state() == MAINTENANCE ? routing::State::maintenance
                                                 : routing::State::ready;
        if (from.has_connections_most()) {
            to.connections_most =
                spot.number("connections_most", from.connections_most(), 1, kMostConnections);
        }
        if (from.has_queue_most()) {
            to.queue_most = spot.number("queue_most", from.queue_most(), 1, kMostConnections);
        }
        if (from.has_slow_start()) {
            to.slow_start = spot.duration("slow_start", from.slow_start());
        }
        to.mark = from.mark(), to.checked = from.checked(), to.health_of = from.health_of();
        if (!to.health_of.empty()) {
            at_the_end_.push_back(
                [this, spot, name = pool.name + "/" + to.name] { health_chain(spot, name); });
            health_of_[pool.name + "/" + to.name] = to.health_of;
        }
        all_servers_.insert(pool.name + "/" + to.name);
        pool.servers.push_back(std::move(to));
        return true;
    }
    void health_chain(const Spot& spot, const std::string& name) {
        std::set<std::string> passed;
        for (std::string at = name; health_of_.contains(at); at = health_of_.at(at)) {
            if (!passed.insert(at).second) {
                return spot.fault("health_of", health_of_.at(name), "it comes back to itself",
                                  "a chain that ends at a server with a health of its own");
            }
            if (!all_servers_.contains(health_of_.at(at)) && at == name) {
                return spot.fault("health_of", health_of_.at(name), "no such server",
                                  "pool/server");
            }
        }
    }
    void further(const FurtherTries& from, const Spot& spot, routing::FurtherTries& to) {
        if (!spot.whole()) {
            return;
        }
        using routing::FurtherTries;
        to.most = spot.number("most", from.most(), 0, 100);
        to.proof = from.proof() == operators::FurtherTries::NEVER_RAN
                       ? FurtherTries::Proof::never_ran
                   : from.proof() == operators::FurtherTries::PUSHED_BACK
                       ? FurtherTries::Proof::pushed_back
                       : FurtherTries::Proof::any_failure;
        to.where = from.where() == operators::FurtherTries::SAME ? FurtherTries::Where::same
                   : from.where() == operators::FurtherTries::OTHER
                       ? FurtherTries::Where::other
                       : FurtherTries::Where::other_at_last;
    }
    void stickiness(const Stickiness& from, const Spot& spot, routing::Stickiness& to) {
        if (!spot.whole()) {
            return;
        }
        using By = routing::Stickiness::By;
        static const std::map<int, By> kBy{
            {Stickiness::SOURCE, By::source}, {Stickiness::PATH, By::path},
            {Stickiness::HEADER, By::header}, {Stickiness::QUERY, By::query},
            {Stickiness::COOKIE, By::cookie}, {Stickiness::REQUEST, By::request_hash}};
        to.by = kBy.at(from.by()), to.name = from.name();
        const bool named = to.by == By::header || to.by == By::query || to.by == By::cookie;
        if (named && to.name.empty()) {
            spot.fault("by", Stickiness::By_Name(from.by()), "it lacks 'name'");
        }
        if (from.has_path_depth()) {
            to.path_depth = spot.number("path_depth", from.path_depth(), 1, 65'536);
        }
        if (from.has_path_length()) {
            to.path_length = spot.number("path_length", from.path_length(), 1, 65'536);
        }
        to.with_query = from.with_query(), to.keeps_down = from.keeps_down();
    }
    void health(const HealthRule& from, const Spot& spot, routing::HealthRule& to) {
        to.every = spot.duration("every", from.every());
        if (from.has_every_in_doubt()) {
            to.every_in_doubt = spot.duration("every_in_doubt", from.every_in_doubt());
        }
        if (from.has_every_while_down()) {
            to.every_while_down = spot.duration("every_while_down", from.every_while_down());
        }
        if (from.has_patience()) {
            to.patience = spot.duration("patience", from.patience());
        }
        to.rise = spot.number("rise", from.rise(), 1, 1'000);
        to.fall = spot.number("fall", from.fall(), 1, 1'000);
        to.errors_most = spot.number("errors_most", from.errors_most(), 0, kMostConnections);
        if (!from.has_http()) {
            return;
        }
        const Spot inner = spot.in("http", from.http());
        to.kind = routing::HealthRule::Kind::http;
        to.http_method = from.http().method(), to.http_path = from.http().path(),
        to.http_host = from.http().host();
        to.status_least = inner.number("status_least", from.http().status_least(), 100, 599);
        to.status_most = inner.number("status_most", from.http().status_most(), 100, 599);
        if (to.status_least > to.status_most) {
            inner.fault("status_least", std::to_string(to.status_least), "more than 'status_most'",
                        fmt::format("100 to {}", to.status_most));
        }
    }

    void planner(const Planner& from, const Spot& spot, routing::Service& to) {
        to.name = spot.name("name", from.name());
        to.listen = from.listen();
        const bool free_port =
            to.listen.ends_with(":0") &&
            sound_address(to.listen.substr(0, to.listen.size() - 1) + "1", false);
        if (!free_port && !sound_address(to.listen, false)) {
            spot.fault("listen", to.listen, "no address",
                       "10.0.0.1:3000 or [::1]:3000; port 0: any that is free");
        }
        to.proxies = spot.number("proxies", from.proxies(), 1, 100'000);
        to.lines_per_second =
            spot.number("lines_per_second", from.lines_per_second(), 1, 10'000'000);
        to.lines_per_message = spot.number("lines_per_message", from.lines_per_message(), 0, 1'000);
        to.lines_waiting_most =
            spot.number("lines_waiting_most", from.lines_waiting_most(), 1, 10'000'000);
        to.report_every = spot.duration("report_every", from.report_every());
        to.message_longest = spot.duration("message_longest", from.message_longest());
        to.drain_grace = spot.duration("drain_grace", from.drain_grace());
        if (to.drain_grace <= to.message_longest) {
            spot.fault("drain_grace", from.drain_grace(), "shorter than a message may travel",
                       "more than message_longest");
        }
        to.memory_mb = spot.number("memory_mb", from.memory_mb(), 16, 65'536);
        to.sockets = spot.number("sockets", from.sockets(), 64, 1'000'000);
    }

    void recording(const Recording& from, const Spot& spot, routing::Recording& to) {
        if (!spot.whole()) {
            return;
        }
        to.path = from.path();
        if (to.path.empty()) {
            spot.fault("path", "", "no path");
        }
        to.segment_mb = spot.number("segment_mb", from.segment_mb(), 1, 1'024);
        to.all_mb = spot.number("all_mb", from.all_mb(), 2, 1'000'000);
        if (to.all_mb < 2 * to.segment_mb) {
            spot.fault("all_mb", std::to_string(to.all_mb), "less than two segments",
                       fmt::format("{} or more", 2 * to.segment_mb));
        }
        to.keep = spot.duration("keep", from.keep());
        to.kib_per_second = spot.number("kib_per_second", from.kib_per_second(), 1, 1'000'000);
        to.processor_percent = spot.number("processor_percent", from.processor_percent(), 1, 100);
    }

    static std::string lower(std::string text) {
        for (char& c : text) {
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
        }
        return text;
    }

    const Installation& file_;
    const Spot top_;
    Reading& reading_;
    std::set<std::string> pool_names_, seen_pools_, listener_names_, all_servers_;
    std::map<std::string, std::string> health_of_;
    std::vector<std::function<void()>> at_the_end_;  // once all servers are known
};

}  // namespace

std::string Fault::text() const {
    std::string text =
        line > 0 ? fmt::format("{}:{}:{}: ", file, line, column) : fmt::format("{}: ", file);
    if (!value.empty()) {
        text += fmt::format("'{}': ", value);
    }
    text += says;
    if (!allowed.empty()) {
        text += fmt::format("; allowed: {}", allowed);
    }
    return text;
}

Reading read_text(std::string_view text, const std::string& name) {
    Reading reading;
    Installation file;
    std::unique_ptr<Tree> places;
    reading.faults = parse_text(std::string(text), name, file, places);
    Reader(file, *places, name, reading).read();
    std::stable_sort(reading.faults.begin(), reading.faults.end(),
                     [](const Fault& a, const Fault& b) {
                         return std::pair(a.line, a.column) < std::pair(b.line, b.column);
                     });
    reading.faults.erase(std::unique(reading.faults.begin(), reading.faults.end()),
                         reading.faults.end());
    if (reading.faults.size() > kMostFaults) {
        reading.faults.resize(kMostFaults);
    }
    return reading;
}

Reading read_file(const std::string& path) {
    const auto unusable = [&path](const char* says) {
        return Reading{{}, {{path, 0, 0, "", says, ""}}, {}};
    };
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return unusable("can't be opened");
    }
    std::ostringstream all;
    all << in.rdbuf();
    if (in.bad() || all.str().size() > kLongestFile) {
        return unusable("can't be read, or is over 64 MiB");
    }
    return read_text(all.str(), path);
}

}  // namespace micaroad::operators
