// A frontend, backend, listen or defaults section with its settings read, each with the line that
// it came from.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "haproxy/server_line.hpp"
#include "haproxy/tree.hpp"

namespace micaroad::haproxy {

// A setting that a section takes from its defaults unless it has its own. Getting it counts as
// going by its line.
template <class T>
class Setting {
 public:
    void set(T value, std::size_t line) { value_ = std::move(value), line_ = line; }
    explicit operator bool() const { return value_.has_value(); }
    const T& get(Findings& findings) const {
        findings.use(line_);
        return *value_;
    }
    T get_or(T otherwise, Findings& findings) const {
        return value_ ? get(findings) : std::move(otherwise);
    }
    std::size_t line() const { return line_; }

 private:
    std::optional<T> value_;
    std::size_t line_ = 0;
};

struct Balance {
    std::string kind = "roundrobin", argument;
    int depth = 0, length = 0, draws = 2;
    bool whole = false, path_only = false;
};
struct Cookie {
    std::string name;
};
struct Redispatch {
    bool on = false;
    int interval = -1;
};
struct Check {  // option httpchk with http-check's words
    bool http = false;
    std::string method = "OPTIONS", path = "/", host;
    int status_least = 200, status_most = 399;
};

struct Settings {
    Setting<std::string> mode;
    Setting<Balance> balance;
    Setting<std::string> hash_type;
    Setting<int> retries, max_conn, full_conn;
    Setting<std::pair<bool, bool>> retry_on;  // any at all; after more than failed connections
    Setting<Redispatch> redispatch;
    Setting<bool> all_backups, persist;
    Setting<Cookie> cookie;
    Setting<Check> check;
    Setting<std::string> stick_table;
    std::map<std::string, Setting<Duration>> timeouts;
    Setting<std::string> default_backend;
    ServerWords default_server;
    std::vector<std::size_t> default_server_lines;
};

// A server's line with the defaults that hold where it stands.
struct ServerAt {
    const Statement* statement;
    ServerWords words;
    std::vector<std::size_t> default_lines;
};

struct Draft {
    const Section* section = nullptr;
    Settings settings;
    bool disabled = false;
    std::vector<const Statement*> acls, binds, rules, use_backends, sticks;
    std::vector<ServerAt> servers;
    bool has_servers() const { return section->kind == "backend" || section->kind == "listen"; }
    bool listens() const { return section->kind == "frontend" || section->kind == "listen"; }
};

// Reads the settings of a section on top of those it takes over; what else it has is filed for the
// translation, or has its verdict once this returns.
Draft read_section(const Section& section, const Settings& taken_over, Findings& findings);

}  // namespace micaroad::haproxy
