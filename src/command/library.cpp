// The entry point that the program looks up in the command library, which it loads at run time.
#include <cstdio>
#include <exception>
#include <iostream>

#include "command/command.hpp"

extern "C" int micaroad_command(int argc, char** argv) {
    try {
        return micaroad::command::run({argv + 1, argv + argc}, std::cout, std::cerr);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "micaroad: %s\n", error.what());
        return micaroad::command::kInvalidInput;
    }
}
