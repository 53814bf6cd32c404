# Entry points for users and CI; the build itself is CMake's.
BUILD ?= build
TYPE ?= RelWithDebInfo
JOBS ?= $(shell nproc)
# Lets worktrees share one compiler cache.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all deps configure demo test soak soak-routed slopes format lint clean
all: configure
	cmake --build $(BUILD) -j $(JOBS)

deps:
	@misc/install_deps.sh

configure: deps
	@[ -f $(BUILD)/build.ninja ] || cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(TYPE) $(CMAKE_FLAGS)

demo: all
	@BUILD=$(BUILD) KEEP=$(KEEP) misc/demo.sh

test: all
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

# Stops and kills daemons under load; not part of CI, since it takes minutes and rests on real time.
soak: all
	@BUILD=$(BUILD) misc/soak.py --stops 50 --kills 50 --seed 20261204

# The same for entries that route straight to upstreams; fifty seeds of each kind take about five minutes.
soak-routed: all
	for seed in $$(seq 1 50); do BUILD=$(BUILD) misc/soak_routed.py --seed $$seed --seconds 10 || exit 1; done
	for seed in $$(seq 1 50); do BUILD=$(BUILD) misc/soak_routed.py --seed $$seed --seconds 8 --faults kill,pause,stop,weather,deadly,restore || exit 1; done
	for seed in $$(seq 1 10); do BUILD=$(BUILD) misc/soak_routed.py --seed $$seed --seconds 10 --entries 4 --faults forget || exit 1; done
	for seed in $$(seq 1 10); do BUILD=$(BUILD) misc/soak_routed.py --seed $$seed --seconds 10 --entries 4 --faults lose,pause || exit 1; done
	for seed in $$(seq 1 20); do BUILD=$(BUILD) misc/soak_routed.py --seed $$seed --seconds 10 --entries 4 --upstreams 4 --callers 24 --faults kill,pause,stop,weather,versions || exit 1; done
	for seed in $$(seq 1 10); do BUILD=$(BUILD) misc/soak_routed.py --seed $$seed --seconds 30 --entries 4 --faults duties || exit 1; done
	for seed in $$(seq 1 20); do BUILD=$(BUILD) misc/soak_routed.py --seed $$seed --seconds 6 --faults crowd,kill,pause,stop || exit 1; done
	for seed in $$(seq 1 50); do BUILD=$(BUILD) misc/soak_routed.py --seed $$seed --seconds 8 --upstreams 6 --faults broken,kill,pause,stop || exit 1; done

format: deps
	misc/format.sh

slopes: all
	$(BUILD)/bin/measure_slopes

lint: configure
	BUILD=$(BUILD) misc/lint.sh

clean:
	rm -rf $(BUILD)
