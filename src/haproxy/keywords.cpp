#include "haproxy/keywords.hpp"

#include <map>
#include <set>

namespace micaroad::haproxy {
namespace {

constexpr Verdict kNoEffect = Verdict::no_effect;
constexpr Verdict kRefused = Verdict::refused;

// Explanations shared by several keywords.
constexpr const char* kLogsOnly = "for logs alone";
constexpr const char* kAnswers = "answers are the proxies' and servers' own";
constexpr const char* kConnections = "how proxies keep connections is theirs";
constexpr const char* kProcess = "how the original's process runs";
constexpr const char* kServerProbes =
    "probes connect, or ask by HTTP; until then servers that are checked are only connected to";
constexpr const char* kMonitor =
    "a request for a sign of life passes like others here: answer it at the proxies";
constexpr const char* kServerHeaders = "headers for servers are the proxies' own";
constexpr const char* kSoundRequest = "what a sound request is, is the proxies' matter";
constexpr const char* kNamesOnly = "names alone count";
constexpr const char* kStateFile = "the planner starts from the list";
constexpr const char* kAnswerRules =
    "what is done to answers does not route; what it refused passes now";
constexpr const char* kListedServers =
    "an RPC goes to a listed server, never to where its client meant it";
constexpr const char* kNoFastCgi = "FastCGI is not spoken to servers";
constexpr const char* kNoMail = "nobody is written to";
constexpr const char* kNoProgram = "no program is run to probe a server: use httpchk";

// Keywords of frontend, backend, listen and defaults sections.
const std::map<std::string, FixedVerdict> kKeywords{
    {"log", {kNoEffect, kLogsOnly}},
    {"log-format", {kNoEffect, kLogsOnly}},
    {"log-format-sd", {kNoEffect, kLogsOnly}},
    {"error-log-format", {kNoEffect, kLogsOnly}},
    {"log-tag", {kNoEffect, kLogsOnly}},
    {"log-steps", {kNoEffect, kLogsOnly}},
    {"capture", {kNoEffect, kLogsOnly}},
    {"declare", {kNoEffect, kLogsOnly}},
    {"unique-id-format", {kNoEffect, kLogsOnly}},
    {"unique-id-header", {kNoEffect, kLogsOnly}},
    {"description", {kNoEffect, "a remark"}},
    {"id", {kNoEffect, kNamesOnly}},
    {"guid", {kNoEffect, kNamesOnly}},
    {"stats", {kNoEffect, "its pages are the original's own"}},
    {"errorfile", {kNoEffect, kAnswers}},
    {"errorfiles", {kNoEffect, kAnswers}},
    {"errorloc", {kNoEffect, kAnswers}},
    {"errorloc302", {kNoEffect, kAnswers}},
    {"errorloc303", {kNoEffect, kAnswers}},
    {"http-error", {kNoEffect, kAnswers}},
    {"compression", {kNoEffect, kAnswers}},
    {"http-after-response", {kNoEffect, kAnswers}},
    {"http-response", {kNoEffect, kAnswerRules}},
    {"tcp-response", {kNoEffect, kAnswerRules}},
    {"http-reuse", {kNoEffect, kConnections}},
    {"max-keep-alive-queue", {kNoEffect, kConnections}},
    {"max-session-srv-conns", {kNoEffect, kConnections}},
    {"backlog", {kNoEffect, kConnections}},
    {"clitcpka-cnt", {kNoEffect, kConnections}},
    {"clitcpka-idle", {kNoEffect, kConnections}},
    {"clitcpka-intvl", {kNoEffect, kConnections}},
    {"srvtcpka-cnt", {kNoEffect, kConnections}},
    {"srvtcpka-idle", {kNoEffect, kConnections}},
    {"srvtcpka-intvl", {kNoEffect, kConnections}},
    {"email-alert", {kNoEffect, kNoMail}},
    {"grace", {kNoEffect, "how the original stops"}},
    {"load-server-state-from-file", {kNoEffect, kStateFile}},
    {"server-state-file-name", {kNoEffect, kStateFile}},
    {"monitor-uri", {kRefused, kMonitor}},
    {"monitor", {kRefused, kMonitor}},
    {"monitor-net", {kRefused, kMonitor}},
    {"rate-limit",
     {kRefused, "levels follow what the fleet bears, not a rate: limit connections instead"}},
    {"hash-balance-factor",
     {kRefused, "a key's server takes no more than its limit: set maxconn instead"}},
    {"hash-preserve-affinity", {kRefused, "a key's server is left while it may not be used"}},
    {"dispatch", {kRefused, "an address without health or weight: write a server line"}},
    {"transparent", {kRefused, kListedServers}},
    {"source", {kRefused, "the proxies' own addresses are used"}},
    {"filter", {kRefused, "filters have no equal here"}},
    {"external-check", {kRefused, kNoProgram}},
    {"force-persist",
     {kRefused, "a server that is down is left unless its pool says `option persist`"}},
    {"ignore-persist", {kRefused, "stickiness is by pool: route these RPCs to a pool without it"}},
    {"persist", {kRefused, "RDP's cookie is not read"}},
    {"appsession", {kRefused, "gone from the original: use `cookie` or `balance hdr()`"}},
    {"fcgi-app", {kRefused, kNoFastCgi}},
    {"use-fcgi-app", {kRefused, kNoFastCgi}},
    {"http-send-name-header", {kNoEffect, kServerHeaders}},
    {"server-state-file", {kNoEffect, kStateFile}},
    {"bind-process", {kNoEffect, kProcess}},
    {"acl-file", {kRefused, "values from a file are not read"}},
    {"reqrep", {kRefused, "gone from the original: http-request replace-*"}},
    {"rspadd", {kRefused, "gone from the original"}},
};

// By the word after `option`.
const std::map<std::string, FixedVerdict> kOptions{
    {"httplog", {kNoEffect, kLogsOnly}},
    {"tcplog", {kNoEffect, kLogsOnly}},
    {"httpslog", {kNoEffect, kLogsOnly}},
    {"dontlognull", {kNoEffect, kLogsOnly}},
    {"dontlog-normal", {kNoEffect, kLogsOnly}},
    {"log-health-checks", {kNoEffect, kLogsOnly}},
    {"log-separate-errors", {kNoEffect, kLogsOnly}},
    {"logasap", {kNoEffect, kLogsOnly}},
    {"socket-stats", {kNoEffect, kLogsOnly}},
    {"contstats", {kNoEffect, kLogsOnly}},
    {"forwardfor", {kNoEffect, kServerHeaders}},
    {"originalto", {kNoEffect, kServerHeaders}},
    {"forwarded", {kNoEffect, kServerHeaders}},
    {"h1-case-adjust-bogus-client", {kNoEffect, "headers are the proxies' own"}},
    {"h1-case-adjust-bogus-server", {kNoEffect, "headers are the proxies' own"}},
    {"http-server-close", {kNoEffect, kConnections}},
    {"httpclose", {kNoEffect, kConnections}},
    {"forceclose", {kNoEffect, kConnections}},
    {"http-keep-alive", {kNoEffect, kConnections}},
    {"http-tunnel", {kNoEffect, kConnections}},
    {"http-pretend-keepalive", {kNoEffect, kConnections}},
    {"http-no-delay", {kNoEffect, kConnections}},
    {"http-buffer-request", {kNoEffect, kConnections}},
    {"http-ignore-probes", {kNoEffect, kConnections}},
    {"http-use-proxy-header", {kNoEffect, kConnections}},
    {"http-use-htx", {kNoEffect, kConnections}},
    {"prefer-last-server", {kNoEffect, kConnections}},
    {"tcpka", {kNoEffect, kConnections}},
    {"clitcpka", {kNoEffect, kConnections}},
    {"srvtcpka", {kNoEffect, kConnections}},
    {"tcp-smart-accept", {kNoEffect, kConnections}},
    {"tcp-smart-connect", {kNoEffect, kConnections}},
    {"splice-auto", {kNoEffect, kConnections}},
    {"splice-request", {kNoEffect, kConnections}},
    {"splice-response", {kNoEffect, kConnections}},
    {"nolinger", {kNoEffect, kConnections}},
    {"idle-close-on-response", {kNoEffect, kConnections}},
    {"independent-streams", {kNoEffect, kConnections}},
    {"accept-invalid-http-request", {kNoEffect, kSoundRequest}},
    {"accept-invalid-http-response", {kNoEffect, kAnswers}},
    {"checkcache", {kNoEffect, kAnswers}},
    {"http-restrict-req-hdr-names", {kNoEffect, kSoundRequest}},
    {"abortonclose", {kNoEffect, "whoever left no longer waits, here always"}},
    {"disable-h2-upgrade", {kNoEffect, kConnections}},
    {"http_proxy", {kRefused, kListedServers}},
    {"transparent", {kRefused, kListedServers}},
    {"external-check", {kRefused, kNoProgram}},
    {"mysql-check", {kRefused, kServerProbes}},
    {"pgsql-check", {kRefused, kServerProbes}},
    {"redis-check", {kRefused, kServerProbes}},
    {"ldap-check", {kRefused, kServerProbes}},
    {"smtpchk", {kRefused, kServerProbes}},
    {"spop-check", {kRefused, kServerProbes}},
    {"ssl-hello-chk", {kRefused, kServerProbes}},
};

// By the word after `timeout`.
const std::map<std::string, FixedVerdict> kTimeouts{
    {"client", {kNoEffect, "how long clients may be silent is the proxies' matter"}},
    {"client-fin", {kNoEffect, "how connections end is the proxies' matter"}},
    {"client-hs", {kNoEffect, "how connections begin is the proxies' matter"}},
    {"server-fin", {kNoEffect, "how connections end is the proxies' matter"}},
    {"http-request", {kNoEffect, "how long a request may take to come is the proxies' matter"}},
    {"http-keep-alive", {kNoEffect, "how long idle connections stay is the proxies' matter"}},
    {"tunnel", {kNoEffect, "tunnels are the proxies' matter"}},
    {"tarpit", {kNoEffect, "nobody is held back: an answer that is final is given at once"}},
};

// Keywords of the global section that configure HAProxy's process.
const std::set<std::string> kProcessKeywords{"51degrees-data-file",
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

std::optional<FixedVerdict> find_verdict(const std::map<std::string, FixedVerdict>& verdicts,
                                         const std::string& name) {
    const auto found = verdicts.find(name);
    if (found == verdicts.end()) {
        return std::nullopt;
    }
    return found->second;
}

}  // namespace

std::optional<FixedVerdict> fixed_verdict(const Statement& statement) {
    return find_verdict(kKeywords, statement.word(0));
}

std::optional<FixedVerdict> fixed_option(const std::string& name) {
    return find_verdict(kOptions, name);
}

std::optional<FixedVerdict> fixed_timeout(const std::string& name) {
    return find_verdict(kTimeouts, name);
}

FixedVerdict global_verdict(const Statement& statement) {
    const std::string& word = statement.word(0);
    if (word.starts_with("tune.")) {
        return {kNoEffect, kProcess};
    }
    if (word == "maxconn") {
        return {kRefused, "there is no limit of the process: set connections_most at listeners"};
    }
    if (word == "maxconnrate" || word == "maxsessrate") {
        return {kRefused, "there is no limit by rate: set connections_most at listeners"};
    }
    if (kProcessKeywords.contains(word)) {
        return {kNoEffect, kProcess};
    }
    return {kRefused, "no keyword of this section that is known here"};
}

FixedVerdict other_section_verdict(const std::string& kind) {
    static const std::map<std::string, FixedVerdict> kSections{
        {"peers", {kNoEffect, "nothing is stored that peers would share: keys are spread by hash"}},
        {"resolvers", {kRefused, "no names are looked up here: list addresses"}},
        {"userlist", {kNoEffect, "who a client is does not route"}},
        {"program", {kNoEffect, "other programs are not started from here"}},
        {"cache", {kNoEffect, "no answers are kept"}},
        {"ring", {kNoEffect, kLogsOnly}},
        {"log-forward", {kNoEffect, kLogsOnly}},
        {"mailers", {kNoEffect, kNoMail}},
        {"http-errors", {kNoEffect, kAnswers}},
        {"crt-store", {kNoEffect, "certificates are the proxies' own"}},
    };
    const FixedVerdict unknown{kRefused, "this section has no equal here"};
    return find_verdict(kSections, kind).value_or(unknown);
}

}  // namespace micaroad::haproxy
