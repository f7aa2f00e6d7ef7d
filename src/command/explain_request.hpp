/// What `micaroad explain` is asked: the RPC and the state of the servers, from the words of the
/// command line.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "routing/plan.hpp"
#include "routing/view.hpp"

namespace micaroad::command {

/// The options of the command line, as they stand.
struct ExplainOptions {
    std::string file;
    std::string listener;
    std::string method = "GET";
    std::string path = "/";
    std::string host;
    std::string source = "127.0.0.1";
    std::vector<std::string> headers;
    std::vector<std::string> cookies;
    std::vector<std::string> down;
    std::vector<std::string> draining;
    bool json = false;
};

/// An option whose value can't be used.
struct OptionError {
    enum class Kind {
        unknown_listener,
        bad_source,
        bad_header,
        bad_cookie,
        unknown_server,
        ambiguous_server,
    };
    Kind kind = Kind::unknown_listener;
    std::string value;
    std::vector<std::string> candidates;  ///< the listeners, or the servers of that name
};

/// The error in words.
[[nodiscard]] std::string describe(const OptionError& error);

/// The listener that the options name, or the plan's only one.
[[nodiscard]] tl::expected<std::string, OptionError> find_listener(const ExplainOptions& options,
                                                                   const routing::Plan& plan);
/// The RPC that the options describe.
[[nodiscard]] tl::expected<routing::Rpc, OptionError> make_rpc(const ExplainOptions& options);
/// All servers up and idle, but for those that the options name.
[[nodiscard]] tl::expected<routing::View, OptionError> make_view(const ExplainOptions& options,
                                                                 const routing::Plan& plan);

}  // namespace micaroad::command
