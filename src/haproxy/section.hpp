/// @file
/// A frontend, backend, listen or defaults section with its settings read, each with the line that
/// it came from.
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

/// A setting that a section takes from its defaults unless it has its own. Reading the value marks
/// its line as used in the findings.
template <class T>
class Setting {
 public:
    void set(T value, std::size_t line) {
        value_ = std::move(value);
        line_ = line;
    }
    [[nodiscard]] explicit operator bool() const { return value_.has_value(); }
    /// Only where there is a value. May be called for the mark alone.
    const T& get(Findings& findings) const {
        findings.use(line_);
        return *value_;  // NOLINT(bugprone-unchecked-optional-access): the caller's to check
    }
    [[nodiscard]] T get_or(T otherwise, Findings& findings) const {
        return value_ ? get(findings) : std::move(otherwise);
    }
    /// The number of the finding of its line.
    [[nodiscard]] std::size_t line() const { return line_; }

 private:
    std::optional<T> value_;
    std::size_t line_ = 0;
};

/// `cookie`: the one that names an RPC's server.
struct Cookie {
    std::string name;
};

/// `option redispatch`.
struct Redispatch {
    bool on = false;
    int interval = -1;  ///< -1: the last try goes to another server; 1: each does
};

/// What a section has set or has taken over.
struct Settings {
    Setting<std::string> mode;
    Setting<Balance> balance;
    Setting<std::string> hash_type;
    Setting<int> retries;
    Setting<int> max_conn;
    Setting<int> full_conn;
    /// First: whether anything is tried again; second: also after other failures than those of the
    /// connection.
    Setting<std::pair<bool, bool>> retry_on;
    Setting<Redispatch> redispatch;
    Setting<bool> all_backups;
    Setting<bool> persist;
    Setting<Cookie> cookie;
    Setting<Check> check;
    Setting<std::string> stick_table;
    std::map<std::string, Setting<Duration>> timeouts;  ///< by the name behind `timeout`
    Setting<std::string> default_backend;
    ServerParameters default_server;
    std::vector<std::size_t> default_server_lines;  ///< numbers of their findings
};

/// A server's line with the defaults that hold where it stands.
struct ServerAt {
    const Statement* statement;
    ServerParameters words;
    std::vector<std::size_t> default_lines;  ///< numbers of the findings of its defaults
};

/// A section with its settings; statements that are translated later are filed by what they are.
/// All pointers are into the tree, which must outlive it.
struct Draft {
    const Section* section = nullptr;
    Settings settings;
    bool disabled = false;
    std::vector<const Statement*> acls;
    std::vector<const Statement*> binds;
    std::vector<const Statement*> rules;
    std::vector<const Statement*> use_backends;
    std::vector<const Statement*> sticks;
    std::vector<ServerAt> servers;

    [[nodiscard]] bool has_servers() const {
        return section->kind == "backend" || section->kind == "listen";
    }
    [[nodiscard]] bool listens() const {
        return section->kind == "frontend" || section->kind == "listen";
    }
};

/// Reads a section on top of the settings that it takes over from its defaults. Each statement has
/// its verdict in the findings once this returns, but for those that are filed in the draft.
[[nodiscard]] Draft read_section(const Section& section, const Settings& taken_over,
                                 Findings& findings);

}  // namespace micaroad::haproxy
