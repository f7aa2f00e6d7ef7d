/// The interface of the subcommands. Each is defined in its own file, with its options and its
/// help; command.cpp lists them.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>

namespace micaroad::command {

/// A subcommand of the command line. The parser stores the options in its members, so it must
/// outlive parsing.
class Subcommand {
 public:
    virtual ~Subcommand() = default;
    Subcommand(const Subcommand&) = delete;
    Subcommand& operator=(const Subcommand&) = delete;

    /// Whether the parsed command line names this subcommand.
    [[nodiscard]] bool chosen() const { return app_->parsed(); }
    /// Runs the subcommand with the parsed options. Results go to `out`, all other output to `err`.
    /// Returns the exit code.
    virtual int run(std::ostream& out, std::ostream& err) = 0;

 protected:
    /// `app` is the parser of this subcommand, which belongs to the program's parser.
    explicit Subcommand(CLI::App* app) : app_(app) {}
    [[nodiscard]] CLI::App& app() { return *app_; }

 private:
    CLI::App* app_;
};

/// Each function adds a subcommand to the program's parser, which must outlive the subcommand.
[[nodiscard]] std::unique_ptr<Subcommand> add_serve(CLI::App& program);
[[nodiscard]] std::unique_ptr<Subcommand> add_import(CLI::App& program);
[[nodiscard]] std::unique_ptr<Subcommand> add_check(CLI::App& program);
[[nodiscard]] std::unique_ptr<Subcommand> add_explain(CLI::App& program);
[[nodiscard]] std::unique_ptr<Subcommand> add_replay(CLI::App& program);

}  // namespace micaroad::command
