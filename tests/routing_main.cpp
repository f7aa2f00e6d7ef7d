// The tests of routing, the operator's file, the importer and the command line: a program of its
// own, as they need no daemon.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
