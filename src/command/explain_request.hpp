/// Converts the options of `micaroad explain` to an RPC and a view of the servers.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "routing/plan.hpp"
#include "routing/view.hpp"

namespace micaroad::command {

/// The unparsed options of the command line.
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

/// An option with an invalid value.
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
    std::vector<std::string> candidates;  ///< all listeners, or the servers of that name
};

/// Formats the error as a message.
[[nodiscard]] std::string describe(const OptionError& error);

/// Returns the listener that the options name, or the plan's only listener.
[[nodiscard]] tl::expected<std::string, OptionError> find_listener(const ExplainOptions& options,
                                                                   const routing::Plan& plan);
/// Builds the RPC that the options describe.
[[nodiscard]] tl::expected<routing::Rpc, OptionError> make_rpc(const ExplainOptions& options);
/// Builds a view in which all servers are up and idle, except those that the options name.
[[nodiscard]] tl::expected<routing::View, OptionError> make_view(const ExplainOptions& options,
                                                                 const routing::Plan& plan);

}  // namespace micaroad::command
