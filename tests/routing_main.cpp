// The main function of the test programs that need no daemon: routing (with the operator's file,
// the importer, the commands and recordings) and the scale tool.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
