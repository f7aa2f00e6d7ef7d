# Shortcuts for common tasks. START_FILE is the start file that LB_CONFIG names; README.md shows an example.
START_FILE ?= docs/example-start.json
# Low optimization, because sanitized code takes long to compile.
SANITIZED := -DMICAROAD_TESTS=ON -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1"

.PHONY: all build test asan tsan lint format tidy bench scale fuzz sites run clean
all: build

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:
	cmake -B build/test -DCMAKE_BUILD_TYPE=Release -DMICAROAD_TESTS=ON -DMICAROAD_WERROR=ON
	cmake --build build/test -j4
	ctest --test-dir build/test --output-on-failure

# AddressSanitizer with UndefinedBehaviorSanitizer, then ThreadSanitizer.
asan:
	cmake -B build/asan $(SANITIZED) -DMICAROAD_SANITIZE=address,undefined
	cmake --build build/asan -j4
	UBSAN_OPTIONS=halt_on_error=1 ctest --test-dir build/asan --output-on-failure

tsan:
	cmake -B build/tsan $(SANITIZED) -DMICAROAD_SANITIZE=thread
	cmake --build build/tsan -j4
	ctest --test-dir build/tsan --output-on-failure

# The checks of CI that don't run the program. README.md lists the packages needed.
lint:
	.ci/lint

# Formats all C++ files with the version of clang-format that lint checks with.
format:
	.ci/lint format

# Shows what a module must fix before it may be added to .ci/finished-modules: make tidy MODULE=src/net
tidy:
	.ci/lint tidy $(MODULE)

# Needs libbenchmark-dev.
bench:
	cmake -B build/bench -DCMAKE_BUILD_TYPE=Release -DMICAROAD_BENCH=ON
	cmake --build build/bench -j4 --target micaroad_route_index_bench micaroad_fleet_bench
	build/bench/micaroad_route_index_bench
	build/bench/micaroad_fleet_bench

# Measures how the cost of a planner depends on the size of its world; writes results, table and plots to SCALE_OUT.
# Needs libbenchmark-dev to configure, and python3 and gnuplot-nox for the table and the plots.
SCALE_OUT ?= build/scale
SCALE_SEED ?= 1
scale:
	cmake -B build/bench -DCMAKE_BUILD_TYPE=Release -DMICAROAD_BENCH=ON
	cmake --build build/bench -j2 --target micaroad_scale
	mkdir -p $(SCALE_OUT)
	build/bench/micaroad_scale core --standard --seed $(SCALE_SEED) --revision "$$(git describe --always --dirty)" \
	    --out $(SCALE_OUT)/results.json
	bench/scale/report.py $(SCALE_OUT)/results.json --out $(SCALE_OUT)

# Needs clang-16 and libclang-rt-16-dev. FUZZ_FLAGS are passed to libFuzzer, which writes its findings to found/.
FUZZ_FLAGS ?= -max_total_time=300
fuzz:
	CC=clang-16 CXX=clang++-16 cmake -B build/fuzz -DCMAKE_BUILD_TYPE=RelWithDebInfo -DMICAROAD_FUZZ=ON \
	    -DMICAROAD_SANITIZE=address -DCMAKE_CXX_FLAGS=-fsanitize=fuzzer-no-link
	cmake --build build/fuzz -j4 --target micaroad_import_fuzz
	mkdir -p found
	build/fuzz/micaroad_import_fuzz -max_len=4096 -artifact_prefix=found/ $(FUZZ_FLAGS) found fuzz/corpus

# Links the operators' site files, which are kept outside the repository, into deploy/sites for their bench.
KIT_SITES ?= ../given/kit/sites
sites:
	for file in real.json wire.json unlock.txt; do ln -sf "$(abspath $(KIT_SITES))/$$file" deploy/sites/$$file; done

run: build
	LB_CONFIG=$(START_FILE) build/micaroad

clean:
	rm -rf build
