// `micaroad check`: reports all faults of an operator's file.
#include <fmt/ostream.h>

#include "command/exit_code.hpp"
#include "command/operator_file.hpp"
#include "command/subcommand.hpp"

namespace micaroad::command {
namespace {

class Check : public Subcommand {
 public:
    explicit Check(CLI::App* parser) : Subcommand(parser) {
        app().add_option("FILE", file_, "The operator's file")->required();
        app().footer("Example: micaroad check deploy/operator.txtpb");
    }

    int run(std::ostream& out, std::ostream& err) override {
        const std::optional<operators::ReadResult> result = read_operator_file(file_, err);
        if (!result) {
            return kInvalidInput;
        }
        print_counts(result->plan, out);
        return kSuccess;
    }

 private:
    void print_counts(const routing::Plan& plan, std::ostream& out) const {
        std::size_t routes = 0;
        for (const routing::Listener& listener : plan.listeners) {
            routes += listener.routes.size();
        }
        std::size_t servers = 0;
        for (const routing::Pool& pool : plan.pools) {
            servers += pool.servers.size();
        }
        fmt::print(out, "{}: valid: {} listeners, {} routes, {} pools, {} servers\n", file_,
                   plan.listeners.size(), routes, plan.pools.size(), servers);
    }

    std::string file_;
};

}  // namespace

std::unique_ptr<Subcommand> add_check(CLI::App& program) {
    return std::make_unique<Check>(
        program.add_subcommand("check",
                               "Check an operator's file and report all faults with their places "
                               "and the allowed values."));
}

}  // namespace micaroad::command
