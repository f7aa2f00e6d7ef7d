#include "command/command.hpp"

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "command/serve.hpp"
#include "command/version.hpp"
#include "haproxy/files.hpp"
#include "haproxy/report.hpp"
#include "operators/file.hpp"
#include "record/replay.hpp"
#include "routing/match.hpp"
#include "routing/router.hpp"

namespace micaroad::command {
namespace {

haproxy::Environment own_environment() {
    haproxy::Environment environment;
    for (char** at = environ; at != nullptr && *at != nullptr; ++at) {
        const std::string word = *at;
        if (const auto equals = word.find('='); equals != std::string::npos) {
            environment[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return environment;
}

struct ImportWish {
    std::vector<std::string> files;
    std::string out, report;
    bool strict = false;
};

int import_haproxy(const ImportWish& wish, std::ostream& out, std::ostream& err) {
    const haproxy::Import import =
        haproxy::translate(haproxy::read_files(wish.files, own_environment()));
    if (!import.troubles.empty()) {
        for (const auto& trouble : import.troubles) {
            fmt::print(err, "{}\n", trouble.text());
        }
        return kUnusable;
    }
    const std::string text = operators::write_text(
        import.plan,
        fmt::format(
            "Made by micaroad import haproxy from {}.\nShape and defaults: proto/operators.proto",
            fmt::join(wish.files, ", ")));
    // What was made is read as the operator's file will be: a fault in it is the importer's own.
    const operators::Reading back =
        operators::read_text(text, wish.out.empty() ? "(result)" : wish.out);
    if (!back.faults.empty()) {
        for (const auto& fault : back.faults) {
            fmt::print(err, "{}\n", fault.text());
        }
        return kUnusable;
    }
    if (!wish.out.empty()) {
        std::string why;
        if (!write_atomically(wish.out, text, why)) {
            fmt::print(err, "{}\n", why);
            return kUnusable;
        }
    } else if (wish.report.empty()) {
        out << text;
    }
    const bool asked = !wish.report.empty() || !wish.out.empty();
    (asked ? out : err) << (wish.report == "json" ? haproxy::json_report(import, wish.files)
                                                  : haproxy::text_report(import));
    const bool findings =
        import.count(haproxy::Verdict::changed) + import.count(haproxy::Verdict::refused) > 0;
    return wish.strict && findings ? kFindings : kDone;
}

// Reads an operator's file; faults go to `err`.
bool usable(const std::string& file, operators::Reading& reading, std::ostream& err) {
    reading = operators::read_file(file);
    for (const auto& fault : reading.faults) {
        fmt::print(err, "{}\n", fault.text());
    }
    for (const auto& notice : reading.notices) {
        fmt::print(err, "{}: {}\n", file, notice);
    }
    return reading.faults.empty();
}

int check(const std::string& file, std::ostream& out, std::ostream& err) {
    operators::Reading reading;
    if (!usable(file, reading, err)) {
        return kUnusable;
    }
    std::size_t routes = 0, servers = 0;
    for (const auto& listener : reading.plan.listeners) {
        routes += listener.routes.size();
    }
    for (const auto& pool : reading.plan.pools) {
        servers += pool.servers.size();
    }
    fmt::print(out, "{}: sound: {} listeners, {} routes, {} pools, {} servers\n", file,
               reading.plan.listeners.size(), routes, reading.plan.pools.size(), servers);
    return kDone;
}

struct ExplainWish {
    std::string file, listener, method = "GET", path = "/", host, source = "127.0.0.1", query;
    std::vector<std::string> headers, cookies, down, draining;
    bool json = false;
};

// A server that is named by pool and server, or by its name alone where only one has it.
bool name_servers(const std::vector<std::string>& words, const routing::Plan& plan,
                  std::vector<std::string>& names, std::ostream& err) {
    for (const std::string& word : words) {
        std::vector<std::string> found;
        for (const auto& pool : plan.pools) {
            for (const auto& server : pool.servers) {
                const std::string name = full_name(pool, server);
                if (name == word || server.name == word) {
                    found.push_back(name);
                }
            }
        }
        if (found.size() != 1) {
            fmt::print(err, "'{}': {}\n", word,
                       found.empty() ? "no such server"
                                     : fmt::format("several servers: {}", fmt::join(found, ", ")));
            return false;
        }
        names.push_back(found.front());
    }
    return true;
}

const char* name_of(routing::Decision::Kind kind) {
    switch (kind) {
        case routing::Decision::Kind::send:
            return "send";
        case routing::Decision::Kind::wait:
            return "wait";
        case routing::Decision::Kind::rejected:
            return "turned away";
        case routing::Decision::Kind::redirected:
            return "redirected";
    }
    return "";
}

int explain(const ExplainWish& wish, std::ostream& out, std::ostream& err) {
    operators::Reading reading;
    if (!usable(wish.file, reading, err)) {
        return kUnusable;
    }
    const routing::Plan& plan = reading.plan;
    std::string listener = wish.listener;
    if (listener.empty() && plan.listeners.size() == 1) {
        listener = plan.listeners.front().name;
    }
    const bool known = std::any_of(plan.listeners.begin(), plan.listeners.end(),
                                   [&](const auto& l) { return l.name == listener; });
    if (!known) {
        std::vector<std::string> names;
        for (const auto& l : plan.listeners) {
            names.push_back(l.name);
        }
        fmt::print(err, "--listener '{}': one of {}\n", listener, fmt::join(names, ", "));
        return kWrongUsage;
    }
    routing::Rpc rpc;
    rpc.method = wish.method, rpc.host = wish.host, rpc.query = wish.query;
    const auto mark = wish.path.find('?');
    rpc.path = wish.path.substr(0, mark);
    if (mark != std::string::npos) {
        rpc.query = wish.path.substr(mark + 1);
    }
    const auto source = routing::address_of(wish.source);
    if (!source) {
        fmt::print(err, "--source '{}': no address\n", wish.source);
        return kWrongUsage;
    }
    rpc.source = *source;
    for (const auto& [words, sign] :
         {std::pair(&wish.headers, ':'), std::pair(&wish.cookies, '=')}) {
        for (const std::string& word : *words) {
            const auto at = word.find(sign);
            if (at == std::string::npos || at == 0) {
                fmt::print(err, "'{}': NAME{}VALUE\n", word, sign);
                return kWrongUsage;
            }
            std::string value = word.substr(at + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            if (sign == ':') {
                rpc.headers.emplace_back(routing::lower(word.substr(0, at)), value);
            } else {
                rpc.cookies[word.substr(0, at)] = value;
            }
        }
    }
    routing::View view;
    view.now = TimePoint{Duration{10'000'000}};
    std::vector<std::string> down, draining;
    if (!name_servers(wish.down, plan, down, err) ||
        !name_servers(wish.draining, plan, draining, err)) {
        return kWrongUsage;
    }
    for (const auto& name : down) {
        view.servers[name].up = false;
    }
    for (const auto& name : draining) {
        view.servers[name].state_override = routing::State::draining,
        view.servers[name].draining_since = view.now;
    }

    const routing::Router router(plan);
    const routing::Decision decision = router.decide(listener, rpc, view);
    const char* tier = decision.split.tier == routing::Tier::active ? "active" : "backup";
    if (wish.json) {
        nlohmann::json parts = nlohmann::json::array();
        for (const auto& part : decision.split.shares) {
            parts.push_back({{"server", part.server}, {"share", part.share}});
        }
        const nlohmann::json all{{"decision", name_of(decision.kind)},
                                 {"listener", decision.listener},
                                 {"route", decision.route},
                                 {"pool", decision.pool},
                                 {"tier", tier},
                                 {"parts", parts},
                                 {"stuck_to", decision.sticky_server},
                                 {"status", decision.status},
                                 {"location", decision.location},
                                 {"why", decision.explanation}};
        out << all.dump(1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
        return kDone;
    }
    fmt::print(out, "{}\n", name_of(decision.kind));
    const auto row = [&out](const char* name, const std::string& value) {
        if (!value.empty()) {
            fmt::print(out, "  {:<9} {}\n", name, value);
        }
    };
    row("listener", decision.listener), row("route", decision.route), row("pool", decision.pool);
    if (!decision.split.shares.empty()) {
        row("tier", tier);
    }
    for (const auto& part : decision.split.shares) {
        row("part", fmt::format("{} {:.4f}", part.server, part.share));
    }
    row("stuck to", decision.sticky_server);
    if (decision.kind == routing::Decision::Kind::rejected ||
        decision.kind == routing::Decision::Kind::redirected) {
        row("status", std::to_string(decision.status));
    }
    row("location", decision.location);
    for (const auto& why : decision.explanation) {
        row("why", why);
    }
    return kDone;
}

struct ReplayWish {
    std::string folder;
    bool verify = false, json = false;
};

int replay(const ReplayWish& wish, std::ostream& out, std::ostream& err) {
    if (!std::filesystem::is_directory(wish.folder)) {
        fmt::print(err, "{}: no folder\n", wish.folder);
        return kUnusable;
    }
    const auto disk = record::open_directory(wish.folder);
    record::ReplayResult result;
    if (wish.verify) {
        result = record::replay(*disk);
    } else {
        result.summary = record::read_recording(*disk, [](const records::Record&) {});
    }
    const record::ReadSummary& read = result.summary;
    const double at = std::chrono::duration<double>(result.last_turn_at.time_since_epoch()).count();
    const std::string why = result.fault ? record::describe(*result.fault) : "";
    if (wish.json) {
        nlohmann::json troubles = nlohmann::json::array();
        for (const auto& fault : read.faults) {
            troubles.push_back({{"segment", fault.segment},
                                {"at", fault.offset},
                                {"bytes", fault.bytes},
                                {"what", fault.description}});
        }
        nlohmann::json all{{"records", read.records},       {"turns", read.turns},
                           {"events", read.events},         {"orders", read.orders},
                           {"bytes", read.bytes},           {"lives", read.headers},
                           {"missing", read.missing_turns}, {"troubles", troubles}};
        if (wish.verify) {
            all["replayed"] = result.replayed_turns, all["skipped"] = result.skipped_turns,
            all["same"] = result.matches(), all["at"] = at, all["why"] = why;
        }
        out << all.dump(1) << "\n";
    } else {
        fmt::print(
            out, "{} turns with {} events and {} orders, {} bytes, {} lives, {} turns missing\n",
            read.turns, read.events, read.orders, read.bytes, read.headers, read.missing_turns);
        for (const auto& fault : read.faults) {
            fmt::print(out, "{}: at {}: {} bytes: {}\n", fault.segment, fault.offset, fault.bytes,
                       fault.description);
        }
        if (wish.verify && result.matches()) {
            fmt::print(out, "{} turns replayed, the same to the byte; {} behind a hole were not\n",
                       result.replayed_turns, result.skipped_turns);
        }
        if (wish.verify && !result.matches()) {
            fmt::print(out, "turn {} differs, at {:.4f}: {}\n", result.replayed_turns, at, why);
        }
    }
    return result.matches() ? kDone : kFindings;
}

}  // namespace

int run(const std::vector<std::string>& words, std::ostream& out, std::ostream& err) {
    CLI::App app{
        "micaroad tells forwarding proxies where RPCs go. Without words it is the daemon, as "
        "`micaroad "
        "serve` is.",
        "micaroad"};
    app.set_version_flag("--version", std::string("micaroad ") + kVersion);
    app.footer(
        "Exit codes: 0 done, 1 findings under --strict, 2 unusable input, 64 wrong "
        "usage.\nExample: micaroad "
        "import haproxy /etc/haproxy/haproxy.cfg --out deploy/operator.txtpb");
    app.require_subcommand(1);
    std::string served;
    CLI::App* serve_app =
        app.add_subcommand("serve", "The daemon. Without words LB_CONFIG names its start file.");
    serve_app
        ->add_option("--operators", served,
                     "Serve an operator's file instead: its pools as methods, its servers by its "
                     "health rules")
        ->required();
    serve_app->footer("Example: micaroad serve --operators deploy/operator.txtpb");

    ImportWish import_wish;
    CLI::App* import =
        app.add_subcommand("import", "Make an operator's file of another program's configuration.");
    import->require_subcommand(1);
    CLI::App* haproxy = import->add_subcommand("haproxy",
                                               "Of HAProxy's (2.8). Each line of it is translated, "
                                               "changed, refused or without effect, and named.");
    haproxy
        ->add_option("FILE", import_wish.files,
                     "Files, or directories of *.cfg, in the original's order")
        ->required();
    haproxy->add_option(
        "--out", import_wish.out,
        "Where the operator's file goes, whole or not at all; else to standard output, "
        "unless --report is given");
    haproxy->add_option("--report", import_wish.report, "How findings are told on standard output")
        ->check(CLI::IsMember({"text", "json"}));
    haproxy->add_flag("--strict", import_wish.strict,
                      "End with 1 if anything was changed or refused");
    haproxy->footer(
        "Example: micaroad import haproxy haproxy.cfg conf.d --out deploy/operator.txtpb --report "
        "json "
        "--strict");

    std::string checked;
    CLI::App* check_app = app.add_subcommand(
        "check",
        "Read an operator's file and name every fault in it, with place and what is allowed.");
    check_app->add_option("FILE", checked, "The operator's file")->required();
    check_app->footer("Example: micaroad check deploy/operator.txtpb");

    ExplainWish explain_wish;
    CLI::App* explain_app = app.add_subcommand("explain",
                                               "Tell the route, pool, tier and parts that an RPC "
                                               "would get by an operator's file, and why.");
    explain_app->add_option("FILE", explain_wish.file, "The operator's file")->required();
    explain_app->add_option("--listener", explain_wish.listener, "Needed where there are several");
    explain_app->add_option("--method", explain_wish.method, "GET if absent");
    explain_app->add_option("--path", explain_wish.path, "With its query, if any; / if absent");
    explain_app->add_option("--host", explain_wish.host, "As the client names it");
    explain_app->add_option("--source", explain_wish.source,
                            "The client's address; 127.0.0.1 if absent");
    explain_app->add_option("--header", explain_wish.headers, "NAME:VALUE, as often as need be")
        ->allow_extra_args(false);
    explain_app->add_option("--cookie", explain_wish.cookies, "NAME=VALUE, as often as need be")
        ->allow_extra_args(false);
    explain_app->add_option("--down", explain_wish.down,
                            "Servers that are down, by name or pool/name");
    explain_app->add_option("--draining", explain_wish.draining, "Servers that drain since now");
    explain_app->add_flag("--json", explain_wish.json, "For a program");
    explain_app->footer(
        "Example: micaroad explain deploy/operator.txtpb --host shop.example --path /img/a.png "
        "--down web/a");

    ReplayWish replay_wish;
    CLI::App* replay_app = app.add_subcommand("replay",
                                              "Read a recording: what it holds, where it has "
                                              "holes, and whether this build orders the same.");
    replay_app
        ->add_option("FOLDER", replay_wish.folder, "Where the operator's file has its recording")
        ->required();
    replay_app->add_flag("--verify", replay_wish.verify,
                         "Play it again, and end with 1 at the first decision that differs");
    replay_app->add_flag("--json", replay_wish.json, "For a program");
    replay_app->footer("Example: micaroad replay /var/lib/micaroad/recording --verify");

    std::vector<std::string> reversed(words.rbegin(), words.rend());
    try {
        app.parse(reversed);
    } catch (const CLI::ParseError& said) {
        const int code = app.exit(said, out, err);
        return code == 0 ? kDone : kWrongUsage;
    }
    if (haproxy->parsed()) {
        return import_haproxy(import_wish, out, err);
    }
    if (check_app->parsed()) {
        return check(checked, out, err);
    }
    if (explain_app->parsed()) {
        return explain(explain_wish, out, err);
    }
    if (replay_app->parsed()) {
        return replay(replay_wish, out, err);
    }
    return serve(served);
}

}  // namespace micaroad::command
