# plantainlug: one binary, built with the system's packages (packages.txt).
#
#   make          build build/plantainlug
#   make run      install packages, build, run the demonstration
#   make check    build with sanitizers and run all tests
#   make bench    benchmarks; make bench-capacity and make measure likewise

BUILD ?= build
CC ?= cc
PACKAGES = apr-1 libprotobuf-c json-c libtirpc libsodium libevent_extra \
	libevent_core log4c argtable2 libxxhash
# Of the stand-ins, which are not shipped.
STANDIN_PACKAGES = libmicrohttpd

# pkg-config answers only after the packages are installed.
PKG_CFLAGS = $(shell pkg-config --cflags $(PACKAGES))
PKG_LIBS = $(shell pkg-config --libs $(PACKAGES))
STANDIN_LIBS = $(shell pkg-config --libs $(STANDIN_PACKAGES))
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wwrite-strings -Wvla
OPTIMISE ?= -O2 -g
SANITIZE ?=
CFLAGS = -std=gnu11 $(OPTIMISE) $(SANITIZE) $(WARNINGS) -pthread
PLUG_WITHOUT ?= 0
CPPFLAGS = -I. $(PKG_CFLAGS) -DPLUG_WITHOUT=$(PLUG_WITHOUT)
LDLIBS = $(PKG_LIBS) -lm -pthread

LIB_SOURCES = $(wildcard libplantainlug/*.c libplantainlug/track/*.c) \
	proto/control.pb-c.c proto/track.pb-c.c
DRIVER_SOURCES = $(wildcard net/*.c platform/*.c)
STANDIN_SOURCES = $(filter-out standins/main.c,$(wildcard standins/*.c))
CLI_SOURCES = $(wildcard cli/*.c)
UNIT_SOURCES = $(wildcard tests/unit/*.c)
BENCH_NAMES = $(patsubst bench/%.c,%,$(wildcard bench/bench_*.c))
CAPACITY_NAMES = $(patsubst bench/%.c,%,$(wildcard bench/capacity_*.c))
SCENARIO_SOURCES = $(wildcard tests/scenario/*.c)
FUZZ_SOURCES = $(wildcard tests/fuzz/*.c)
FUZZ_DRIVERS = net/buffer.c net/frame.c net/record.c platform/config.c \
	platform/store.c
HAND_WRITTEN = $(wildcard libplantainlug/*.[ch] libplantainlug/track/*.[ch] platform/*.[ch] net/*.[ch] cli/*.[ch] \
	standins/*.[ch] tests/unit/*.[ch] tests/fuzz/*.[ch] tests/scenario/*.[ch] \
	tests/replay/*.[ch] \
	bench/*.[ch])

objects = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIB_OBJECTS = $(call objects,$(LIB_SOURCES))
PROGRAM_OBJECTS = $(LIB_OBJECTS) $(call objects,$(DRIVER_SOURCES) $(CLI_SOURCES))
STANDIN_OBJECTS = $(call objects,$(STANDIN_SOURCES))

all: $(BUILD)/plantainlug $(BUILD)/plantainlug-standin $(BUILD)/scenario \
	$(BUILD)/replay

$(BUILD)/plantainlug: $(PROGRAM_OBJECTS)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/plantainlug-standin: $(LIB_OBJECTS) $(STANDIN_OBJECTS) \
	$(call objects,$(DRIVER_SOURCES) standins/main.c)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS) $(STANDIN_LIBS)

$(BUILD)/unit-tests: $(call objects,$(UNIT_SOURCES)) $(LIB_OBJECTS) \
	$(STANDIN_OBJECTS) $(call objects,$(DRIVER_SOURCES))
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS) $(STANDIN_LIBS) \
	    $$(pkg-config --libs check)

$(BUILD)/scenario: $(call objects,$(SCENARIO_SOURCES)) $(LIB_OBJECTS) \
	$(BUILD)/standins/callerflow.o
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/replay: $(BUILD)/tests/replay/replay.o $(call objects,$(filter-out \
	tests/scenario/main.c,$(SCENARIO_SOURCES))) $(LIB_OBJECTS) \
	$(BUILD)/standins/callerflow.o
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

BENCH_OBJECTS = $(call objects,bench/common.c bench/config.c bench/path.c \
	bench/rig.c)
$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BENCH_OBJECTS) \
	$(LIB_OBJECTS) $(STANDIN_OBJECTS) $(call objects,$(DRIVER_SOURCES))
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS) $(STANDIN_LIBS)

$(BUILD)/fuzz/%: tests/fuzz/%.c $(LIB_SOURCES) $(FUZZ_DRIVERS)
	@mkdir -p $(@D)
	clang -std=gnu11 -g -O1 -fsanitize=fuzzer,address,undefined \
	    -fno-sanitize-recover=undefined $(CPPFLAGS) -o $@ $^ $(LDLIBS)

# Generated code is not held to the warnings of hand-written code.
$(BUILD)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 $(OPTIMISE) $(SANITIZE) $(CPPFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(CPPFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

SANITIZE_BUILD = build/sanitize
SANITIZE_FLAGS = -fsanitize=address,undefined -fno-sanitize-recover=undefined

sanitized:
	$(MAKE) BUILD=$(SANITIZE_BUILD) OPTIMISE="-O1 -g" \
	    SANITIZE="$(SANITIZE_FLAGS)" $(SANITIZE_BUILD)/plantainlug \
	    $(SANITIZE_BUILD)/plantainlug-standin $(SANITIZE_BUILD)/unit-tests $(SANITIZE_BUILD)/scenario

fuzzers: $(patsubst tests/fuzz/%.c,$(BUILD)/fuzz/%,$(FUZZ_SOURCES))

check: all sanitized fuzzers
	tests/run $(BUILD) $(SANITIZE_BUILD)

BENCH_SEEDS ?= 20
bench: $(addprefix $(BUILD)/bench/,$(BENCH_NAMES)) $(BUILD)/scenario
	for name in $(BENCH_NAMES); do $(BUILD)/bench/$$name || exit 1; done
	bench/scenario_seeds $(BUILD) $(BENCH_SEEDS)

bench-capacity: $(addprefix $(BUILD)/bench/,$(CAPACITY_NAMES))
	for name in $(CAPACITY_NAMES); do $(BUILD)/bench/$$name || exit 1; done

# Product against baseline on the same scenarios and seeds.
measure: $(BUILD)/scenario
	tests/measure/run $(BUILD)

format:
	clang-format -i $(HAND_WRITTEN)

format-check:
	clang-format --dry-run --Werror $(HAND_WRITTEN)

LINT_SOURCES = $(filter %.c,$(HAND_WRITTEN))
lint:
	printf '%s\n' $(LINT_SOURCES) | xargs -P 8 -n 4 sh -c \
	    'clang-tidy --quiet "$$@" -- -std=gnu11 $(CPPFLAGS) 2>/dev/null' lint

install-packages:
	./install-packages

run: install-packages
	$(MAKE) all
	./demo $(BUILD)

generate:
	cd proto && protoc-c --c_out=. control.proto track.proto

clean:
	rm -rf build

.PHONY: all bench bench-capacity check clean format format-check fuzzers \
	generate install-packages lint measure run sanitized
