/// What the subcommands have in common. Each stands in a file of its own, with its options and its
/// help; command.cpp has the list of them.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>

namespace micaroad::command {

/// A subcommand of the command line. Its options are members that the parser fills, so it must
/// outlive the parsing.
class Subcommand {
 public:
    virtual ~Subcommand() = default;
    Subcommand(const Subcommand&) = delete;
    Subcommand& operator=(const Subcommand&) = delete;

    /// Whether the command line that was parsed names this one.
    [[nodiscard]] bool chosen() const { return app_->parsed(); }
    /// Runs it with the options that were parsed. Results go to `out`, all else to `err`. Returns
    /// the exit code.
    virtual int run(std::ostream& out, std::ostream& err) = 0;

 protected:
    /// `app` is the parser of this subcommand, a part of the program's.
    explicit Subcommand(CLI::App* app) : app_(app) {}
    [[nodiscard]] CLI::App& app() { return *app_; }

 private:
    CLI::App* app_;
};

/// Each of these adds a subcommand to the program's parser, which must outlive it.
[[nodiscard]] std::unique_ptr<Subcommand> add_serve(CLI::App& program);
[[nodiscard]] std::unique_ptr<Subcommand> add_import(CLI::App& program);
[[nodiscard]] std::unique_ptr<Subcommand> add_check(CLI::App& program);
[[nodiscard]] std::unique_ptr<Subcommand> add_explain(CLI::App& program);
[[nodiscard]] std::unique_ptr<Subcommand> add_replay(CLI::App& program);

}  // namespace micaroad::command
