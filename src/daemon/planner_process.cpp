#include "daemon/planner_process.hpp"

#include <algorithm>

namespace micaroad {

const char* name_of(Stage stage) {
    switch (stage) {
        case Stage::made:
            return "made";
        case Stage::hearing_known:
            return "hearing the known list";
        case Stage::serving:
            return "serving";
        case Stage::ending:
            return "ending";
        case Stage::ended:
            return "ended";
        case Stage::failed:
            return "failed";
    }
    return "?";
}

namespace {

net::Address address_or_throw(const std::string& text, const char* key) {
    const auto address = net::address_of(text);
    if (!address) {
        throw ConfigurationError(std::string("'") + key + "' is no address and port: " + text);
    }
    return *address;
}

}  // namespace

PlannerProcess::PlannerProcess(StartConfiguration start, Clock clock, Log& log, Observer* observer,
                               SyncPoints* sync, net::WatchTimeouts timeouts)
    : start_(std::move(start)),
      clock_(std::move(clock)),
      log_(log),
      listen_(address_or_throw(start_.listen, "listen")),
      limits_(Limits::of(start_.memory_mb, start_.sockets,
                         static_cast<std::size_t>(start_.settings.proxy_count),
                         start_.names.zones.size())),
      reading_(kReaders),
      lines_(limits_.line_buffers),
      writing_(limits_.out_buffers),
      inbox_(clock_),
      acceptor_({start_.names, start_.bounds, reading_, lines_, writing_, inbox_, log_, sync},
                limits_.connections, limits_.unidentified),
      prober_(reading_, inbox_, clock_, sync),
      watch_(start_.discovery,
             start_.discovery.empty() ? net::Address{}
                                      : address_or_throw(start_.discovery, "discovery"),
             start_.names, start_.known.version, limits_.list_bytes, reading_, inbox_, log_,
             timeouts, sync),
      core_(start_.settings, start_.names, start_.seed, *this, log_, observer),
      sync_(sync) {}

void PlannerProcess::enter(Stage stage) {
    stage_ = stage;
    log_.info("planner {}: {}", start_.name, name_of(stage));
}

void PlannerProcess::stop() {
    inbox_.put(core_event::StopRequested{});
}

void PlannerProcess::reload(const Environment& environment) try {
    ReloadedConfiguration reread = reload_configuration(environment, start_);
    (void)address_or_throw(reread.discovery, "discovery");
    inbox_.put(core_event::ConfigurationReloaded{std::move(reread)});
} catch (const std::exception& bad) {
    log_.error("reload: nothing is changed: {}", bad.what());
}

void PlannerProcess::follow(const std::string& discovery) {
    watch_.follow(discovery, address_or_throw(discovery, "discovery"));
}

// Nobody is told `alive` before the module has heard the list it is to begin with.
bool PlannerProcess::begin_serving(std::string& why) {
    enter(Stage::hearing_known);
    log_.info("room for {} connections, {} unidentified peers among them", limits_.connections,
              limits_.unidentified);
    if (!limits_.enough) {
        log_.warn("'limits' don't suffice for {} proxies at once: who comes last is turned away",
                  start_.settings.proxy_count);
    }
    {
        std::vector<Inbox::Item> known;
        known.push_back({clock_(), core_event::EndpointListReceived{std::move(
                                       start_.known)}});  // it may be large: no copy stays
        core_.turn(known, clock_());
    }
    if (!start_.discovery.empty() && !watch_.start()) {
        why = "no thread for discovery";
        return false;
    }
    return acceptor_.open(listen_)
        .map_error([&](const auto& error) { why = describe(error); })
        .has_value();
}

int PlannerProcess::run() {
    if (std::string why; !begin_serving(why)) {
        log_.error("{}: {}", start_.listen, why);
        enter(Stage::failed);
        return 1;
    }
    enter(Stage::serving);
    if (!core_thread_.start([this] { decide_on(); })) {
        broken_ = true;
    }
    core_thread_.wait();
    reach(sync_, SyncPoint::core_heard_stop);
    enter(Stage::ending);
    // Told all at once, waited for after: what hangs in one keeps none of the others.
    acceptor_.begin_shutdown(), watch_.begin_stop(), prober_.begin_stop();
    watch_.stop(), prober_.stop(), acceptor_.shutdown();
    enter(broken_ ? Stage::failed : Stage::ended);
    return broken_ ? 1 : 0;
}

void PlannerProcess::decide_on() try {
    while (!core_.stopping()) {
        auto items = inbox_.wait(core_.next_due());
        core_.turn(items, clock_());
        core_.note_lag(items, clock_());
        if (const auto dropped = inbox_.dropped(); dropped > 0) {
            log_.warn("{} reports dropped: more came than the core can hear", dropped);
        }
    }
} catch (const std::exception& failed) {
    log_.error("the core failed: {}", failed.what());
    broken_ = true;
}

}  // namespace micaroad
