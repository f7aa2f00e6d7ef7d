// Hosts planners for the simulator: reads batches from standard input and writes replies to
// standard output. Exits with code 1 at the first line that cannot be parsed.
#include <cstddef>
#include <iostream>
#include <string>

#include "simhost/planner_host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    micaroad::simhost::PlannerHost host;
    std::size_t line_number = 0;
    for (std::string line; std::getline(std::cin, line);) {
        ++line_number;
        if (line.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        const auto reply = host.answer(line);
        if (!reply) {
            std::cerr << "micaroad_simhost: line " << line_number
                      << " can't be read: " << reply.error().message << '\n';
            return 1;
        }
        std::cout << *reply << '\n' << std::flush;
    }
}
