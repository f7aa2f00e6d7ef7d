#include "routing/tries.hpp"

#include <fmt/format.h>

namespace micaroad::routing {

Again try_again(const Pool& pool, const Rpc& rpc, const std::vector<std::string>& tried,
                Ending ending) {
    using Proof = FurtherTries::Proof;
    using Where = FurtherTries::Where;
    const FurtherTries& further = pool.further;
    if (tried.empty()) {
        return {false, "", "nothing was tried"};
    }
    const auto made = static_cast<int>(tried.size()) - 1;
    if (made >= further.most) {
        return {false, "", fmt::format("{} further tries were made, as many as may be", made)};
    }
    const bool never_ran = ending == Ending::no_connection || ending == Ending::pushed_back;
    if (ending != Ending::no_connection && further.proof == Proof::never_ran) {
        return {false, "", "only what never reached a server is tried again here"};
    }
    if (!never_ran && further.proof == Proof::pushed_back) {
        return {false, "", "only what a server has pushed back is tried again here"};
    }
    if (!never_ran && !rpc.idempotent()) {
        return {false, "",
                fmt::format("{} may have run, and must not take effect twice", rpc.method)};
    }
    const bool last = made + 1 == further.most;
    const bool other =
        further.where == Where::other || (further.where == Where::other_at_last && last);
    return {true, other ? "" : tried.back(), other ? "another server" : "the same server"};
}

}  // namespace micaroad::routing
