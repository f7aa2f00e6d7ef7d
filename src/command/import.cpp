// `micaroad import haproxy`: translates an HAProxy configuration to an operator's file.
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <unistd.h>

#include "command/exit_code.hpp"
#include "command/subcommand.hpp"
#include "command/write_atomically.hpp"
#include "haproxy/files.hpp"
#include "haproxy/report.hpp"
#include "operators/file.hpp"

namespace micaroad::command {
namespace {

haproxy::Environment process_environment() {
    haproxy::Environment environment;
    for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string text = *entry;
        const std::size_t equals = text.find('=');
        if (equals != std::string::npos) {
            environment[text.substr(0, equals)] = text.substr(equals + 1);
        }
    }
    return environment;
}

template <class Faults>
void print_faults(const Faults& faults, std::ostream& err) {
    for (const auto& fault : faults) {
        fmt::print(err, "{}\n", fault.text());
    }
}

class ImportHaproxy : public Subcommand {
 public:
    explicit ImportHaproxy(CLI::App* parser) : Subcommand(parser) {
        app()
            .add_option("FILE", files_,
                        "Files, or directories of *.cfg, in the order in which HAProxy reads them")
            ->required();
        app().add_option(
            "--out", output_,
            "Where the operator's file is written, atomically; default: standard output, "
            "unless --report is given");
        app()
            .add_option("--report", report_, "Print the findings to standard output in this format")
            ->check(CLI::IsMember({"text", "json"}));
        app().add_flag("--strict", strict_, "Exit with 1 if anything was changed or refused");
        app().footer(
            "Example: micaroad import haproxy haproxy.cfg conf.d --out deploy/operator.txtpb "
            "--report json --strict");
    }

    int run(std::ostream& out, std::ostream& err) override {
        const haproxy::Import import =
            haproxy::translate(haproxy::read_files(files_, process_environment()));
        if (!import.faults.empty()) {
            print_faults(import.faults, err);
            return kInvalidInput;
        }
        const std::string text = operators::write_text(import.plan, heading());
        // The result is read back as an operator's file; a fault in it is a bug of the importer.
        const operators::ReadResult read_back =
            operators::read_text(text, output_.empty() ? "(result)" : output_);
        if (!read_back.faults.empty()) {
            print_faults(read_back.faults, err);
            return kInvalidInput;
        }
        if (!write_result(text, out, err)) {
            return kInvalidInput;
        }
        write_report(import, out, err);
        return strict_ && has_findings(import) ? kFindings : kSuccess;
    }

 private:
    [[nodiscard]] std::string heading() const {
        return fmt::format(
            "Made by micaroad import haproxy from {}.\nShape and defaults: proto/operators.proto",
            fmt::join(files_, ", "));
    }

    bool write_result(const std::string& text, std::ostream& out, std::ostream& err) const {
        if (output_.empty()) {
            // With --report, standard output is reserved for the report.
            if (report_.empty()) {
                out << text;
            }
            return true;
        }
        const tl::expected<void, WriteError> written = write_atomically(output_, text);
        if (!written) {
            fmt::print(err, "{}\n", describe(written.error()));
            return false;
        }
        return true;
    }

    // Writes the report to `err` if standard output holds the result.
    void write_report(const haproxy::Import& import, std::ostream& out, std::ostream& err) const {
        const bool result_on_out = report_.empty() && output_.empty();
        std::ostream& report = result_on_out ? err : out;
        report << (report_ == "json" ? haproxy::json_report(import, files_)
                                     : haproxy::text_report(import));
    }

    static bool has_findings(const haproxy::Import& import) {
        return import.count(haproxy::Verdict::changed) + import.count(haproxy::Verdict::refused) >
               0;
    }

    std::vector<std::string> files_;
    std::string output_;  // empty: standard output
    std::string report_;  // "text", "json" or empty
    bool strict_ = false;
};

}  // namespace

std::unique_ptr<Subcommand> add_import(CLI::App& program) {
    CLI::App* const import = program.add_subcommand(
        "import", "Translate another program's configuration to an operator's file.");
    import->require_subcommand(1);
    return std::make_unique<ImportHaproxy>(
        import->add_subcommand("haproxy",
                               "Translate an HAProxy 2.8 configuration. Each line is reported as "
                               "translated, changed, refused or without effect."));
}

}  // namespace micaroad::command
