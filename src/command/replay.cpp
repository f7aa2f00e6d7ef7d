// `micaroad replay`: what a recording holds, and whether this build gives the same orders.
#include "record/replay.hpp"

#include <fmt/ostream.h>

#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "command/exit_code.hpp"
#include "command/subcommand.hpp"

namespace micaroad::command {
namespace {

double seconds_since_epoch(TimePoint time) {
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

class Replay : public Subcommand {
 public:
    explicit Replay(CLI::App* parser) : Subcommand(parser) {
        app()
            .add_option("FOLDER", folder_, "Where the operator's file has its recording")
            ->required();
        app().add_flag("--verify", verify_,
                       "Play it again, and end with 1 at the first decision that differs");
        app().add_flag("--json", json_, "For a program");
        app().footer("Example: micaroad replay /var/lib/micaroad/recording --verify");
    }

    int run(std::ostream& out, std::ostream& err) override {
        if (!std::filesystem::is_directory(folder_)) {
            fmt::print(err, "{}: no folder\n", folder_);
            return kUnusable;
        }
        const auto disk = record::folder(folder_);
        record::Verdict verdict;
        if (verify_) {
            verdict = record::replay(*disk);
        } else {
            verdict.read = record::read_all(*disk, [](const records::Record&) {});
        }
        if (json_) {
            print_json(verdict, out);
        } else {
            print_text(verdict, out);
        }
        return verdict.same ? kDone : kFindings;
    }

 private:
    void print_json(const record::Verdict& verdict, std::ostream& out) const {
        const record::Read& read = verdict.read;
        nlohmann::json troubles = nlohmann::json::array();
        for (const auto& trouble : read.troubles) {
            troubles.push_back({{"segment", trouble.segment},
                                {"at", trouble.at},
                                {"bytes", trouble.bytes},
                                {"what", trouble.what}});
        }
        nlohmann::json report{{"records", read.records}, {"turns", read.turns},
                              {"events", read.events},   {"orders", read.orders},
                              {"bytes", read.bytes},     {"lives", read.heads},
                              {"missing", read.missing}, {"troubles", troubles}};
        if (verify_) {
            report["replayed"] = verdict.replayed;
            report["skipped"] = verdict.skipped;
            report["same"] = verdict.same;
            report["at"] = seconds_since_epoch(verdict.at);
            report["why"] = verdict.why;
        }
        out << report.dump(1) << "\n";
    }

    void print_text(const record::Verdict& verdict, std::ostream& out) const {
        const record::Read& read = verdict.read;
        fmt::print(out,
                   "{} turns with {} events and {} orders, {} bytes, {} lives, {} turns missing\n",
                   read.turns, read.events, read.orders, read.bytes, read.heads, read.missing);
        for (const auto& trouble : read.troubles) {
            fmt::print(out, "{}: at {}: {} bytes: {}\n", trouble.segment, trouble.at, trouble.bytes,
                       trouble.what);
        }
        if (!verify_) {
            return;
        }
        if (verdict.same) {
            fmt::print(out, "{} turns replayed, the same to the byte; {} behind a hole were not\n",
                       verdict.replayed, verdict.skipped);
        } else {
            fmt::print(out, "turn {} differs, at {:.4f}: {}\n", verdict.replayed,
                       seconds_since_epoch(verdict.at), verdict.why);
        }
    }

    std::string folder_;
    bool verify_ = false;
    bool json_ = false;
};

}  // namespace

std::unique_ptr<Subcommand> add_replay(CLI::App& program) {
    return std::make_unique<Replay>(
        program.add_subcommand("replay",
                               "Read a recording: what it holds, where it has holes, and whether "
                               "this build orders the same."));
}

}  // namespace micaroad::command
