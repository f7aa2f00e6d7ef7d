#include "haproxy/keywords.hpp"

#include <map>
#include <set>

namespace micaroad::haproxy {
namespace {

constexpr Verdict kNoEffect = Verdict::no_effect;
constexpr Verdict kRefused = Verdict::refused;

// Explanations shared by several keywords.
constexpr const char* kLogsOnly = "affects logs only";
constexpr const char* kAnswers = "answers are up to the proxies and servers";
constexpr const char* kConnections = "connection handling is up to the proxies";
constexpr const char* kProcess = "concerns the HAProxy process only";
constexpr const char* kServerProbes =
    "probes connect or send an HTTP request; without httpchk, checked servers are only connected "
    "to";
constexpr const char* kMonitor =
    "monitoring requests are routed like any others here: answer them at the proxies";
constexpr const char* kServerHeaders = "headers sent to servers are up to the proxies";
constexpr const char* kSoundRequest = "validating requests is up to the proxies";
constexpr const char* kNamesOnly = "only names matter";
constexpr const char* kStateFile = "the planner starts from the operator's file";
constexpr const char* kAnswerRules =
    "rules on answers do not affect routing; answers that they refused now pass";
constexpr const char* kListedServers =
    "RPCs go to listed servers only, never to an address that the client chose";
constexpr const char* kNoFastCgi = "FastCGI servers are not supported";
constexpr const char* kNoMail = "no mail is sent";
constexpr const char* kNoProgram = "no programs are run to probe servers: use httpchk";

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
    {"description", {kNoEffect, "a description only"}},
    {"id", {kNoEffect, kNamesOnly}},
    {"guid", {kNoEffect, kNamesOnly}},
    {"stats", {kNoEffect, "the pages are HAProxy's own"}},
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
    {"grace", {kNoEffect, "concerns only how HAProxy stops"}},
    {"load-server-state-from-file", {kNoEffect, kStateFile}},
    {"server-state-file-name", {kNoEffect, kStateFile}},
    {"monitor-uri", {kRefused, kMonitor}},
    {"monitor", {kRefused, kMonitor}},
    {"monitor-net", {kRefused, kMonitor}},
    {"rate-limit",
     {kRefused, "levels follow the capacity of the fleet, not a rate: limit connections instead"}},
    {"hash-balance-factor",
     {kRefused, "the server of a key is bounded by its own limit only: set maxconn instead"}},
    {"hash-preserve-affinity",
     {kRefused, "a key moves to another server while its own may not be used"}},
    {"dispatch", {kRefused, "the address has no health or weight: write a server line instead"}},
    {"transparent", {kRefused, kListedServers}},
    {"source", {kRefused, "proxies use their own addresses"}},
    {"filter", {kRefused, "filters are not supported"}},
    {"external-check", {kRefused, kNoProgram}},
    {"force-persist",
     {kRefused, "RPCs leave a server that is down unless its pool has `option persist`"}},
    {"ignore-persist",
     {kRefused, "stickiness applies to a whole pool: route these RPCs to a pool without it"}},
    {"persist", {kRefused, "RDP cookies are not read"}},
    {"appsession", {kRefused, "removed from HAProxy: use `cookie` or `balance hdr()`"}},
    {"fcgi-app", {kRefused, kNoFastCgi}},
    {"use-fcgi-app", {kRefused, kNoFastCgi}},
    {"http-send-name-header", {kNoEffect, kServerHeaders}},
    {"server-state-file", {kNoEffect, kStateFile}},
    {"bind-process", {kNoEffect, kProcess}},
    {"acl-file", {kRefused, "values from a file are not read"}},
    {"reqrep", {kRefused, "removed from HAProxy: use http-request replace-*"}},
    {"rspadd", {kRefused, "removed from HAProxy"}},
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
    {"h1-case-adjust-bogus-client", {kNoEffect, "headers are up to the proxies"}},
    {"h1-case-adjust-bogus-server", {kNoEffect, "headers are up to the proxies"}},
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
    {"abortonclose", {kNoEffect, "always on here: RPCs of clients that left no longer wait"}},
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
    {"client", {kNoEffect, "client timeouts are up to the proxies"}},
    {"client-fin", {kNoEffect, "closing connections is up to the proxies"}},
    {"client-hs", {kNoEffect, "opening connections is up to the proxies"}},
    {"server-fin", {kNoEffect, "closing connections is up to the proxies"}},
    {"http-request", {kNoEffect, "request timeouts are up to the proxies"}},
    {"http-keep-alive", {kNoEffect, "idle timeouts are up to the proxies"}},
    {"tunnel", {kNoEffect, "tunnels are up to the proxies"}},
    {"tarpit", {kNoEffect, "clients are not delayed: a final answer is sent at once"}},
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
        return {kRefused,
                "there is no limit for the whole process: set connections_most at listeners"};
    }
    if (word == "maxconnrate" || word == "maxsessrate") {
        return {kRefused, "there is no rate limit: set connections_most at listeners"};
    }
    if (kProcessKeywords.contains(word)) {
        return {kNoEffect, kProcess};
    }
    return {kRefused, "unknown keyword in the global section"};
}

FixedVerdict other_section_verdict(const std::string& kind) {
    static const std::map<std::string, FixedVerdict> kSections{
        {"peers", {kNoEffect, "nothing is stored that peers would share: keys are spread by hash"}},
        {"resolvers", {kRefused, "no names are looked up here: list addresses"}},
        {"userlist", {kNoEffect, "users do not affect routing"}},
        {"program", {kNoEffect, "no other programs are started"}},
        {"cache", {kNoEffect, "answers are not cached"}},
        {"ring", {kNoEffect, kLogsOnly}},
        {"log-forward", {kNoEffect, kLogsOnly}},
        {"mailers", {kNoEffect, kNoMail}},
        {"http-errors", {kNoEffect, kAnswers}},
        {"crt-store", {kNoEffect, "certificates are up to the proxies"}},
    };
    const FixedVerdict unknown{kRefused, "sections of this kind are not supported"};
    return find_verdict(kSections, kind).value_or(unknown);
}

}  // namespace micaroad::haproxy
