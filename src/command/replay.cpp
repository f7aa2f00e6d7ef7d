// `micaroad replay`: summarizes a recording, and verifies that this build gives the same orders.
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

std::string fault_text(const record::ReplayResult& result) {
    return result.fault ? record::describe(*result.fault) : "";
}

class Replay : public Subcommand {
 public:
    explicit Replay(CLI::App* parser) : Subcommand(parser) {
        app()
            .add_option("FOLDER", folder_, "Directory of the recording, as in the operator's file")
            ->required();
        app().add_flag("--verify", verify_,
                       "Replay the recording, and exit with 1 at the first decision that differs");
        app().add_flag("--json", json_, "Print JSON");
        app().footer("Example: micaroad replay /var/lib/micaroad/recording --verify");
    }

    int run(std::ostream& out, std::ostream& err) override {
        if (!std::filesystem::is_directory(folder_)) {
            fmt::print(err, "{}: not a directory\n", folder_);
            return kInvalidInput;
        }
        const auto disk = record::open_directory(folder_);
        record::ReplayResult result;
        if (verify_) {
            result = record::replay(*disk);
        } else {
            result.summary = record::read_recording(*disk, [](const records::Record&) {});
        }
        if (json_) {
            print_json(result, out);
        } else {
            print_text(result, out);
        }
        return result.matches() ? kSuccess : kFindings;
    }

 private:
    void print_json(const record::ReplayResult& result, std::ostream& out) const {
        const record::ReadSummary& read = result.summary;
        nlohmann::json faults = nlohmann::json::array();
        for (const auto& fault : read.faults) {
            faults.push_back({{"segment", fault.segment},
                              {"at", fault.offset},
                              {"bytes", fault.bytes},
                              {"what", fault.description}});
        }
        nlohmann::json report{{"records", read.records},       {"turns", read.turns},
                              {"events", read.events},         {"orders", read.orders},
                              {"bytes", read.bytes},           {"lives", read.headers},
                              {"missing", read.missing_turns}, {"troubles", faults}};
        if (verify_) {
            report["replayed"] = result.replayed_turns;
            report["skipped"] = result.skipped_turns;
            report["same"] = result.matches();
            report["at"] = seconds_since_epoch(result.last_turn_at);
            report["why"] = fault_text(result);
        }
        out << report.dump(1) << "\n";
    }

    void print_text(const record::ReplayResult& result, std::ostream& out) const {
        const record::ReadSummary& read = result.summary;
        fmt::print(out,
                   "{} turns with {} events and {} orders, {} bytes, {} planner starts, {} turns "
                   "missing\n",
                   read.turns, read.events, read.orders, read.bytes, read.headers,
                   read.missing_turns);
        for (const auto& fault : read.faults) {
            fmt::print(out, "{}: at {}: {} bytes: {}\n", fault.segment, fault.offset, fault.bytes,
                       fault.description);
        }
        if (!verify_) {
            return;
        }
        if (result.matches()) {
            fmt::print(out,
                       "{} turns replayed with identical results; {} after a gap were skipped\n",
                       result.replayed_turns, result.skipped_turns);
        } else {
            fmt::print(out, "turn {} differs, at {:.4f}: {}\n", result.replayed_turns,
                       seconds_since_epoch(result.last_turn_at), fault_text(result));
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
                               "Summarize a recording, report its gaps, and verify that this build "
                               "gives the same orders."));
}

}  // namespace micaroad::command
