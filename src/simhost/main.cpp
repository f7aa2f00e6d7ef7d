#include <iostream>
#include <string>

#include "simhost/wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    micaroad::simhost::Host host;
    std::size_t number = 0;
    for (std::string line; std::getline(std::cin, line);) {
        ++number;
        if (line.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        try {
            std::cout << host.answer(line) << '\n' << std::flush;
        } catch (const micaroad::simhost::WireError& bad) {
            std::cerr << "micaroad_simhost: line " << number << " can't be read: " << bad.what()
                      << '\n';
            return 1;
        }
    }
}
