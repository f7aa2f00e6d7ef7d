/// @file
/// Reads the settings of frontend, backend, listen and defaults sections. Each setting keeps the
/// line that it came from.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "haproxy/balance.hpp"
#include "haproxy/http_check.hpp"
#include "haproxy/server_line.hpp"
#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

/// A setting that a section inherits from its defaults unless it sets its own. Reading the value
/// marks its line as used in the findings.
template <class T>
class Setting {
 public:
    void set(T value, std::size_t line) {
        value_ = std::move(value);
        line_ = line;
    }
    [[nodiscard]] explicit operator bool() const { return value_.has_value(); }
    /// The value must be present. May be called only to mark the line as used.
    const T& get(Findings& findings) const {
        findings.mark_used(line_);
        return *value_;  // NOLINT(bugprone-unchecked-optional-access): checked by the caller
    }
    [[nodiscard]] T get_or(T default_value, Findings& findings) const {
        return value_ ? get(findings) : std::move(default_value);
    }
    /// The index of the finding of the setting's line.
    [[nodiscard]] std::size_t line() const { return line_; }

 private:
    std::optional<T> value_;
    std::size_t line_ = 0;
};

/// `cookie`: the cookie that names an RPC's server.
struct Cookie {
    std::string name;
};

/// `option redispatch`.
struct Redispatch {
    bool on = false;
    int interval = -1;  ///< -1: only the last attempt goes to another server; 1: each does
};

/// The settings of a section, both its own and those inherited from its defaults.
struct Settings {
    Setting<std::string> mode;
    Setting<Balance> balance;
    Setting<std::string> hash_type;
    Setting<int> retries;
    Setting<int> max_conn;
    Setting<int> full_conn;
    /// First: whether failed RPCs are retried at all; second: whether also after failures other
    /// than connection failures.
    Setting<std::pair<bool, bool>> retry_on;
    Setting<Redispatch> redispatch;
    Setting<bool> all_backups;
    Setting<bool> persist;
    Setting<Cookie> cookie;
    Setting<Check> check;
    Setting<std::string> stick_table;
    std::map<std::string, Setting<Duration>> timeouts;  ///< by the word after `timeout`
    Setting<std::string> default_backend;
    ServerParameters default_server;
    std::vector<std::size_t> default_server_lines;  ///< indices of their findings
};

/// A `server` line with the `default-server` settings in effect at that line.
struct ServerStatement {
    const Statement* statement;
    ServerParameters words;
    std::vector<std::size_t> default_lines;  ///< findings of the `default-server` lines
};

/// A section with its settings. Statements that are translated later are grouped by kind. All
/// pointers point into the tree, which must outlive the draft.
struct Draft {
    const Section* section = nullptr;
    Settings settings;
    bool disabled = false;
    std::vector<const Statement*> acls;
    std::vector<const Statement*> binds;
    std::vector<const Statement*> rules;
    std::vector<const Statement*> use_backends;
    std::vector<const Statement*> sticks;
    std::vector<ServerStatement> servers;

    [[nodiscard]] bool has_servers() const {
        return section->kind == "backend" || section->kind == "listen";
    }
    [[nodiscard]] bool listens() const {
        return section->kind == "frontend" || section->kind == "listen";
    }
};

/// Reads a section on top of the settings that it inherits from its defaults. Gives each statement
/// a verdict in the findings, except for those that the draft keeps for later translation.
[[nodiscard]] Draft read_section(const Section& section, const Settings& inherited,
                                 Findings& findings);

}  // namespace micaroad::haproxy
