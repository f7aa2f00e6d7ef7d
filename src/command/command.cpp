#include "command/command.hpp"

#include <array>
#include <memory>

#include "command/subcommand.hpp"
#include "command/version.hpp"

namespace micaroad::command {
namespace {

void describe_program(CLI::App& program) {
    program.set_version_flag("--version", std::string("micaroad ") + kVersion);
    program.footer(
        "Exit codes: 0 success, 1 findings under --strict, 2 invalid input, 64 usage error.\n"
        "Example: micaroad import haproxy /etc/haproxy/haproxy.cfg --out deploy/operator.txtpb");
    program.require_subcommand(1);
}

}  // namespace

int run(const std::vector<std::string>& words, std::ostream& out, std::ostream& err) {
    CLI::App program{
        "micaroad tells forwarding proxies where RPCs go. Without arguments it runs the daemon, "
        "like `micaroad serve`.",
        "micaroad"};
    describe_program(program);
    // In the order of the help text.
    const std::array subcommands{add_serve(program), add_import(program), add_check(program),
                                 add_explain(program), add_replay(program)};
    // CLI11 expects the words in reverse order.
    std::vector<std::string> reversed(words.rbegin(), words.rend());
    try {
        program.parse(reversed);
    } catch (const CLI::ParseError& error) {
        // --help and --version also end here, with exit code 0.
        const int code = program.exit(error, out, err);
        return code == 0 ? kSuccess : kUsageError;
    }
    for (const std::unique_ptr<Subcommand>& subcommand : subcommands) {
        if (subcommand->chosen()) {
            return subcommand->run(out, err);
        }
    }
    return kUsageError;  // not reached: the parser requires a subcommand
}

}  // namespace micaroad::command
