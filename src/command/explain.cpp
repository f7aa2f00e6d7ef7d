// `micaroad explain`: prints the route, pool, tier and shares that an RPC gets by an operator's
// file.
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <nlohmann/json.hpp>

#include "command/exit_code.hpp"
#include "command/explain_request.hpp"
#include "command/operator_file.hpp"
#include "command/subcommand.hpp"
#include "routing/router.hpp"

namespace micaroad::command {
namespace {

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

const char* name_of(routing::Tier tier) {
    return tier == routing::Tier::active ? "active" : "backup";
}

void print_json(const routing::Decision& decision, std::ostream& out) {
    nlohmann::json parts = nlohmann::json::array();
    for (const auto& part : decision.split.shares) {
        parts.push_back({{"server", part.server}, {"share", part.share}});
    }
    const nlohmann::json report{{"decision", name_of(decision.kind)},
                                {"listener", decision.listener},
                                {"route", decision.route},
                                {"pool", decision.pool},
                                {"tier", name_of(decision.split.tier)},
                                {"parts", parts},
                                {"stuck_to", decision.sticky_server},
                                {"status", decision.status},
                                {"location", decision.location},
                                {"why", decision.explanation}};
    // Names from the file may be invalid UTF-8, which would make dump() throw.
    out << report.dump(1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

void print_row(std::ostream& out, const char* name, const std::string& value) {
    if (!value.empty()) {
        fmt::print(out, "  {:<9} {}\n", name, value);
    }
}

void print_text(const routing::Decision& decision, std::ostream& out) {
    fmt::print(out, "{}\n", name_of(decision.kind));
    print_row(out, "listener", decision.listener);
    print_row(out, "route", decision.route);
    print_row(out, "pool", decision.pool);
    if (!decision.split.shares.empty()) {
        print_row(out, "tier", name_of(decision.split.tier));
    }
    for (const auto& part : decision.split.shares) {
        print_row(out, "part", fmt::format("{} {:.4f}", part.server, part.share));
    }
    print_row(out, "stuck to", decision.sticky_server);
    if (decision.kind == routing::Decision::Kind::rejected ||
        decision.kind == routing::Decision::Kind::redirected) {
        print_row(out, "status", std::to_string(decision.status));
    }
    print_row(out, "location", decision.location);
    for (const std::string& why : decision.explanation) {
        print_row(out, "why", why);
    }
}

int report_usage_error(const OptionError& error, std::ostream& err) {
    fmt::print(err, "{}\n", describe(error));
    return kUsageError;
}

class Explain : public Subcommand {
 public:
    explicit Explain(CLI::App* parser) : Subcommand(parser) {
        app().add_option("FILE", options_.file, "The operator's file")->required();
        app().add_option("--listener", options_.listener,
                         "Required if the file has several listeners");
        app().add_option("--method", options_.method, "Default: GET");
        app().add_option("--path", options_.path, "With the query, if any; default: /");
        app().add_option("--host", options_.host, "As sent by the client");
        app().add_option("--source", options_.source, "The client's address; default: 127.0.0.1");
        app()
            .add_option("--header", options_.headers, "NAME:VALUE; may be repeated")
            ->allow_extra_args(false);
        app()
            .add_option("--cookie", options_.cookies, "NAME=VALUE; may be repeated")
            ->allow_extra_args(false);
        app().add_option("--down", options_.down, "Servers that are down, by name or pool/name");
        app().add_option("--draining", options_.draining, "Servers that start to drain now");
        app().add_flag("--json", options_.json, "Print JSON");
        app().footer(
            "Example: micaroad explain deploy/operator.txtpb --host shop.example --path /img/a.png "
            "--down web/a");
    }

    int run(std::ostream& out, std::ostream& err) override {
        const std::optional<operators::ReadResult> result = read_operator_file(options_.file, err);
        if (!result) {
            return kInvalidInput;
        }
        const auto listener = find_listener(options_, result->plan);
        if (!listener) {
            return report_usage_error(listener.error(), err);
        }
        const auto rpc = make_rpc(options_);
        if (!rpc) {
            return report_usage_error(rpc.error(), err);
        }
        const auto view = make_view(options_, result->plan);
        if (!view) {
            return report_usage_error(view.error(), err);
        }
        const routing::Router router(result->plan);
        const routing::Decision decision = router.decide(*listener, *rpc, *view);
        if (options_.json) {
            print_json(decision, out);
        } else {
            print_text(decision, out);
        }
        return kSuccess;
    }

 private:
    ExplainOptions options_;
};

}  // namespace

std::unique_ptr<Subcommand> add_explain(CLI::App& program) {
    return std::make_unique<Explain>(
        program.add_subcommand("explain",
                               "Print the route, pool, tier and shares that an RPC would get by an "
                               "operator's file, and why."));
}

}  // namespace micaroad::command
