#include "haproxy/keywords.hpp"

#include <map>
#include <set>

namespace micaroad::haproxy {
namespace {

constexpr Verdict kNone = Verdict::no_effect, kRefused = Verdict::refused;
const char* const kLogs = "for logs alone";
const char* const kAnswers = "answers are the proxies' and servers' own";
const char* const kConnections = "how proxies keep connections is theirs";
const char* const kProcess = "how the original's process runs";

const std::map<std::string, FixedVerdict> kKeywords{
    {"log", {kNone, kLogs}},
    {"log-format", {kNone, kLogs}},
    {"log-format-sd", {kNone, kLogs}},
    {"error-log-format", {kNone, kLogs}},
    {"log-tag", {kNone, kLogs}},
    {"log-steps", {kNone, kLogs}},
    {"capture", {kNone, kLogs}},
    {"declare", {kNone, kLogs}},
    {"unique-id-format", {kNone, kLogs}},
    {"unique-id-header", {kNone, kLogs}},
    {"description", {kNone, "a remark"}},
    {"id", {kNone, "names alone count"}},
    {"guid", {kNone, "names alone count"}},
    {"stats", {kNone, "its pages are the original's own"}},
    {"errorfile", {kNone, kAnswers}},
    {"errorfiles", {kNone, kAnswers}},
    {"errorloc", {kNone, kAnswers}},
    {"errorloc302", {kNone, kAnswers}},
    {"errorloc303", {kNone, kAnswers}},
    {"http-error", {kNone, kAnswers}},
    {"compression", {kNone, kAnswers}},
    {"http-after-response", {kNone, kAnswers}},
    {"http-response",
     {kNone, "what is done to answers does not route; what it refused passes now"}},
    {"tcp-response", {kNone, "what is done to answers does not route; what it refused passes now"}},
    {"http-reuse", {kNone, kConnections}},
    {"max-keep-alive-queue", {kNone, kConnections}},
    {"max-session-srv-conns", {kNone, kConnections}},
    {"backlog", {kNone, kConnections}},
    {"clitcpka-cnt", {kNone, kConnections}},
    {"clitcpka-idle", {kNone, kConnections}},
    {"clitcpka-intvl", {kNone, kConnections}},
    {"srvtcpka-cnt", {kNone, kConnections}},
    {"srvtcpka-idle", {kNone, kConnections}},
    {"srvtcpka-intvl", {kNone, kConnections}},
    {"email-alert", {kNone, "nobody is written to"}},
    {"grace", {kNone, "how the original stops"}},
    {"load-server-state-from-file", {kNone, "the planner starts from the list"}},
    {"server-state-file-name", {kNone, "the planner starts from the list"}},
    {"monitor-uri",
     {kRefused, "a request for a sign of life passes like others here: answer it at the proxies"}},
    {"monitor",
     {kRefused, "a request for a sign of life passes like others here: answer it at the proxies"}},
    {"monitor-net",
     {kRefused, "a request for a sign of life passes like others here: answer it at the proxies"}},
    {"rate-limit",
     {kRefused, "levels follow what the fleet bears, not a rate: limit connections instead"}},
    {"hash-balance-factor",
     {kRefused, "a key's server takes no more than its limit: set maxconn instead"}},
    {"hash-preserve-affinity", {kRefused, "a key's server is left while it may not be used"}},
    {"dispatch", {kRefused, "an address without health or weight: write a server line"}},
    {"transparent",
     {kRefused, "an RPC goes to a listed server, never to where its client meant it"}},
    {"source", {kRefused, "the proxies' own addresses are used"}},
    {"filter", {kRefused, "filters have no equal here"}},
    {"external-check", {kRefused, "no program is run to probe a server: use httpchk"}},
    {"force-persist",
     {kRefused, "a server that is down is left unless its pool says `option persist`"}},
    {"ignore-persist", {kRefused, "stickiness is by pool: route these RPCs to a pool without it"}},
    {"persist", {kRefused, "RDP's cookie is not read"}},
    {"appsession", {kRefused, "gone from the original: use `cookie` or `balance hdr()`"}},
    {"fcgi-app", {kRefused, "FastCGI is not spoken to servers"}},
    {"use-fcgi-app", {kRefused, "FastCGI is not spoken to servers"}},
    {"http-send-name-header", {kNone, "headers for servers are the proxies' own"}},
    {"server-state-file", {kNone, "the planner starts from the list"}},
    {"bind-process", {kNone, kProcess}},
    {"acl-file", {kRefused, "values from a file are not read"}},
    {"reqrep", {kRefused, "gone from the original: http-request replace-*"}},
    {"rspadd", {kRefused, "gone from the original"}},
};

const std::map<std::string, FixedVerdict> kOptions{
    {"httplog", {kNone, kLogs}},
    {"tcplog", {kNone, kLogs}},
    {"httpslog", {kNone, kLogs}},
    {"dontlognull", {kNone, kLogs}},
    {"dontlog-normal", {kNone, kLogs}},
    {"log-health-checks", {kNone, kLogs}},
    {"log-separate-errors", {kNone, kLogs}},
    {"logasap", {kNone, kLogs}},
    {"socket-stats", {kNone, kLogs}},
    {"contstats", {kNone, kLogs}},
    {"forwardfor", {kNone, "headers for servers are the proxies' own"}},
    {"originalto", {kNone, "headers for servers are the proxies' own"}},
    {"forwarded", {kNone, "headers for servers are the proxies' own"}},
    {"h1-case-adjust-bogus-client", {kNone, "headers are the proxies' own"}},
    {"h1-case-adjust-bogus-server", {kNone, "headers are the proxies' own"}},
    {"http-server-close", {kNone, kConnections}},
    {"httpclose", {kNone, kConnections}},
    {"forceclose", {kNone, kConnections}},
    {"http-keep-alive", {kNone, kConnections}},
    {"http-tunnel", {kNone, kConnections}},
    {"http-pretend-keepalive", {kNone, kConnections}},
    {"http-no-delay", {kNone, kConnections}},
    {"http-buffer-request", {kNone, kConnections}},
    {"http-ignore-probes", {kNone, kConnections}},
    {"http-use-proxy-header", {kNone, kConnections}},
    {"http-use-htx", {kNone, kConnections}},
    {"prefer-last-server", {kNone, kConnections}},
    {"tcpka", {kNone, kConnections}},
    {"clitcpka", {kNone, kConnections}},
    {"srvtcpka", {kNone, kConnections}},
    {"tcp-smart-accept", {kNone, kConnections}},
    {"tcp-smart-connect", {kNone, kConnections}},
    {"splice-auto", {kNone, kConnections}},
    {"splice-request", {kNone, kConnections}},
    {"splice-response", {kNone, kConnections}},
    {"nolinger", {kNone, kConnections}},
    {"idle-close-on-response", {kNone, kConnections}},
    {"independent-streams", {kNone, kConnections}},
    {"accept-invalid-http-request", {kNone, "what a sound request is, is the proxies' matter"}},
    {"accept-invalid-http-response", {kNone, kAnswers}},
    {"checkcache", {kNone, kAnswers}},
    {"http-restrict-req-hdr-names", {kNone, "what a sound request is, is the proxies' matter"}},
    {"abortonclose", {kNone, "whoever left no longer waits, here always"}},
    {"disable-h2-upgrade", {kNone, kConnections}},
    {"http_proxy",
     {kRefused, "an RPC goes to a listed server, never to where its client meant it"}},
    {"transparent",
     {kRefused, "an RPC goes to a listed server, never to where its client meant it"}},
    {"external-check", {kRefused, "no program is run to probe a server: use httpchk"}},
    {"mysql-check",
     {kRefused,
      "probes connect, or ask by HTTP; until then servers that are checked are only connected to"}},
    {"pgsql-check",
     {kRefused,
      "probes connect, or ask by HTTP; until then servers that are checked are only connected to"}},
    {"redis-check",
     {kRefused,
      "probes connect, or ask by HTTP; until then servers that are checked are only connected to"}},
    {"ldap-check",
     {kRefused,
      "probes connect, or ask by HTTP; until then servers that are checked are only connected to"}},
    {"smtpchk",
     {kRefused,
      "probes connect, or ask by HTTP; until then servers that are checked are only connected to"}},
    {"spop-check",
     {kRefused,
      "probes connect, or ask by HTTP; until then servers that are checked are only connected to"}},
    {"ssl-hello-chk",
     {kRefused,
      "probes connect, or ask by HTTP; until then servers that are checked are only connected to"}},
};

const std::set<std::string> kGlobal{"51degrees-data-file",
                                    "busy-polling",
                                    "ca-base",
                                    "chroot",
                                    "cluster-secret",
                                    "cpu-map",
                                    "crt-base",
                                    "daemon",
                                    "default-path",
                                    "description",
                                    "debug",
                                    "expose-experimental-directives",
                                    "expose-deprecated-directives",
                                    "external-check",
                                    "fd-hard-limit",
                                    "gid",
                                    "grace",
                                    "group",
                                    "h1-case-adjust",
                                    "h1-case-adjust-file",
                                    "h2-workaround-bogus-websocket-clients",
                                    "hard-stop-after",
                                    "harden.reject-privileged-ports.tcp",
                                    "httpclient.ssl.verify",
                                    "insecure-fork-wanted",
                                    "insecure-setuid-wanted",
                                    "issuers-chain-path",
                                    "key-base",
                                    "limited-quic",
                                    "localpeer",
                                    "log",
                                    "log-send-hostname",
                                    "log-tag",
                                    "lua-load",
                                    "lua-load-per-thread",
                                    "lua-prepend-path",
                                    "master-worker",
                                    "maxcompcpuusage",
                                    "maxcomprate",
                                    "maxpipes",
                                    "maxsslconn",
                                    "maxsslrate",
                                    "maxzlibmem",
                                    "mworker-max-reloads",
                                    "nbproc",
                                    "nbthread",
                                    "no-quic",
                                    "node",
                                    "noepoll",
                                    "noevports",
                                    "nogetaddrinfo",
                                    "nokqueue",
                                    "nopoll",
                                    "noreuseport",
                                    "nosplice",
                                    "numa-cpu-mapping",
                                    "pidfile",
                                    "pp2-never-send-local",
                                    "prealloc-fd",
                                    "profiling.tasks",
                                    "profiling.memory",
                                    "quiet",
                                    "server-state-base",
                                    "server-state-file",
                                    "set-dumpable",
                                    "set-var",
                                    "set-var-fmt",
                                    "shards",
                                    "spread-checks",
                                    "ssl-default-bind-ciphers",
                                    "ssl-default-bind-ciphersuites",
                                    "ssl-default-bind-curves",
                                    "ssl-default-bind-options",
                                    "ssl-default-server-ciphers",
                                    "ssl-default-server-ciphersuites",
                                    "ssl-default-server-options",
                                    "ssl-dh-param-file",
                                    "ssl-engine",
                                    "ssl-load-extra-files",
                                    "ssl-mode-async",
                                    "ssl-propquery",
                                    "ssl-provider",
                                    "ssl-provider-path",
                                    "ssl-server-verify",
                                    "ssl-skip-self-issued-ca",
                                    "stats",
                                    "strict-limits",
                                    "thread-group",
                                    "thread-groups",
                                    "uid",
                                    "ulimit-n",
                                    "unix-bind",
                                    "unsetenv",
                                    "user",
                                    "wurfl-data-file",
                                    "zero-warning"};

}  // namespace

std::optional<FixedVerdict> fixed_verdict(const Statement& statement) {
    const auto at = kKeywords.find(statement.word(0));
    return at == kKeywords.end() ? std::nullopt : std::optional(at->second);
}

std::optional<FixedVerdict> fixed_option(const std::string& name) {
    const auto at = kOptions.find(name);
    return at == kOptions.end() ? std::nullopt : std::optional(at->second);
}

FixedVerdict global_verdict(const Statement& statement) {
    const std::string& word = statement.word(0);
    if (word.starts_with("tune.")) {
        return {kNone, kProcess};
    }
    if (word == "maxconn") {
        return {kRefused, "there is no limit of the process: set connections_most at listeners"};
    }
    if (word == "maxconnrate" || word == "maxsessrate") {
        return {kRefused, "there is no limit by rate: set connections_most at listeners"};
    }
    if (kGlobal.contains(word)) {
        return {kNone, kProcess};
    }
    return {kRefused, "no keyword of this section that is known here"};
}

FixedVerdict other_section_verdict(const std::string& kind) {
    if (kind == "peers") {
        return {kNone, "nothing is stored that peers would share: keys are spread by hash"};
    }
    if (kind == "resolvers") {
        return {kRefused, "no names are looked up here: list addresses"};
    }
    if (kind == "userlist") {
        return {kNone, "who a client is does not route"};
    }
    if (kind == "program") {
        return {kNone, "other programs are not started from here"};
    }
    if (kind == "cache") {
        return {kNone, "no answers are kept"};
    }
    if (kind == "ring" || kind == "log-forward") {
        return {kNone, kLogs};
    }
    if (kind == "mailers") {
        return {kNone, "nobody is written to"};
    }
    if (kind == "http-errors") {
        return {kNone, kAnswers};
    }
    if (kind == "crt-store") {
        return {kNone, "certificates are the proxies' own"};
    }
    return {kRefused, "this section has no equal here"};
}

}  // namespace micaroad::haproxy
