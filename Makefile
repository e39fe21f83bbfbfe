# One entry for everything:
#   make deps    install what the build needs (Debian)
#   make         build the programs into build/plain
#   make check   all tests, then once more under ASan and UBSan
#   make lint    formatter and linters
#   make faults  planted faults, and which proofs find them
#   make demo    the whole path in separate processes
#   make bench   measurements
#   make capacity  slopes behind docs/CAPACITY.md
#   make format  rewrite the sources with the formatter

# What the build needs is listed once, for the users' platform too.
BUILD_PACKAGES := $(shell sed -n 's/^packages = \[\(.*\)\]/\1/p' \
	deploy/system.toml | tr -d '",')
TEST_PACKAGES = check clang-format clang-tidy cppcheck curl git perl strace \
	valgrind

MODE ?= plain
OUT = build/$(MODE)

LIBS = libuv libh2o libprotobuf-c glib-2.0 jansson libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(LIBS))
PKG_LIBS := $(shell pkg-config --libs $(LIBS)) -lhttp_parser -lssl -lcrypto -lz -lm
# The library of the tests is asked for by the tests' own rules alone: one
# missing package makes pkg-config print no flags for the others either.
CHECK_CFLAGS = $(shell pkg-config --cflags check)
CHECK_LIBS = $(shell pkg-config --libs check)

CFLAGS_plain = -O2
CFLAGS_asan = -O1 -fsanitize=address,undefined -fno-sanitize-recover=all \
	-fno-omit-frame-pointer
LDFLAGS_asan = -fsanitize=address,undefined

# Planted faults can be turned on, by name; for test/faults only.
CFLAGS_fault = -O2 -include test/fake/fault.h
LDFLAGS_fault = -Wl,-u,fault_is_on
FAULT_OBJ_fault = $(OUT)/test/fake/fault.o

CPPFLAGS += -Iinclude -Isource -I. -D_GNU_SOURCE -DH2O_USE_LIBUV=1
CFLAGS += -std=gnu11 -g -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes $(CFLAGS_$(MODE)) $(PKG_CFLAGS)
LDFLAGS += $(LDFLAGS_$(MODE))

# The core does no I/O; the shell does; each tool is a thin main.
CORE = $(wildcard source/base/*.c source/proto/*.c source/catalogue/*.c \
	source/claim/*.c source/authority/*.c source/policy/*.c \
	source/member/*.c source/node/*.c source/relay/*.c source/model/*.c)
SHELL_SRC = $(wildcard source/net/*.c)
TOOLS = $(patsubst source/tool/%.c,%,$(wildcard source/tool/dff-*.c))
TOOL_PARTS = $(filter-out source/tool/dff-%.c,$(wildcard source/tool/*.c))
# The adapter to the users' platform, and its program.
PLATFORM = $(filter-out platform/dff-edge.c,$(wildcard platform/*.c))
PLATFORM_TESTS = $(patsubst platform/test/%.c,%,\
	$(wildcard platform/test/test_*.c))
PLATFORM_FAKES = $(filter-out platform/test/test_%.c \
	platform/test/edge_bench.c,$(wildcard platform/test/*.c))
TESTS = $(patsubst test/%.c,%,$(wildcard test/test_*.c))
# The virtual fleet is shared by benches and tests.
FAKES = $(wildcard test/fake/*.c) \
	$(filter-out bench/bench_%.c,$(wildcard bench/*.c))
BENCHES = $(patsubst bench/%.c,%,$(wildcard bench/bench_*.c))

CORE_OBJ = $(CORE:%.c=$(OUT)/%.o)
SHELL_OBJ = $(SHELL_SRC:%.c=$(OUT)/%.o) $(TOOL_PARTS:%.c=$(OUT)/%.o)
PLATFORM_OBJ = $(PLATFORM:%.c=$(OUT)/%.o)
PLATFORM_FAKE_OBJ = $(PLATFORM_FAKES:%.c=$(OUT)/%.o)
FAKE_OBJ = $(FAKES:%.c=$(OUT)/%.o)

PROGRAMS = $(TOOLS:%=$(OUT)/%) $(OUT)/dff-edge
TEST_PROGRAMS = $(TESTS:%=$(OUT)/%) $(PLATFORM_TESTS:%=$(OUT)/%)
BENCH_PROGRAMS = $(BENCHES:%=$(OUT)/%)

# Hand-written sources: what the formatter and the linters look at.
SOURCES = $(filter-out source/proto/%,$(wildcard source/*/*.c source/*/*.h \
	include/dragonflyfall/*.h platform/*.c platform/*.h platform/test/*.c \
	platform/test/*.h soak/*.c soak/*.h test/*.c test/*/*.c test/*/*.h bench/*.c \
	bench/*.h))

.PHONY: all edge soak deps check faults lint format demo bench capacity tests clean generate

all: $(PROGRAMS)

# A fault soak of real processes; SEEDS and SECONDS choose its length.
$(OUT)/dff-soak: $(patsubst %.c,$(OUT)/%.o,$(wildcard soak/*.c)) \
	$(PLATFORM_FAKE_OBJ) $(FAULT_OBJ_$(MODE)) $(OUT)/libdffshell.a \
	$(OUT)/libdragonflyfall.a
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

soak: $(OUT)/dff-soak $(OUT)/dff-edge
	soak/run $(OUT)

# What deploy/system.toml builds.
edge: $(OUT)/dff-edge

tests: $(PROGRAMS) $(TEST_PROGRAMS) $(BENCH_PROGRAMS)

$(OUT)/libdragonflyfall.a: $(CORE_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

$(OUT)/libdffshell.a: $(SHELL_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

$(OUT)/libdfffakes.a: $(FAKE_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

$(OUT)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(OUT)/test/%.o $(OUT)/platform/test/%.o: CFLAGS += $(CHECK_CFLAGS)

# protobuf-c's generated code is not held to the warnings of our own.
$(OUT)/source/proto/%.o: CFLAGS += -Wno-unused-parameter

$(OUT)/dff-edge: $(OUT)/platform/dff-edge.o $(PLATFORM_OBJ) \
	$(FAULT_OBJ_$(MODE)) \
	$(OUT)/libdffshell.a $(OUT)/libdragonflyfall.a
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(TOOLS:%=$(OUT)/%): $(OUT)/%: $(OUT)/source/tool/%.o $(OUT)/libdffshell.a \
	$(OUT)/libdragonflyfall.a
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(PLATFORM_TESTS:%=$(OUT)/%): $(OUT)/%: $(OUT)/platform/test/%.o \
	$(OUT)/platform/test/edge_bench.o \
	$(PLATFORM_FAKE_OBJ) $(PLATFORM_OBJ) $(OUT)/libdfffakes.a \
	$(OUT)/libdffshell.a \
	$(OUT)/libdragonflyfall.a
	$(CC) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(PKG_LIBS)

$(TESTS:%=$(OUT)/%): $(OUT)/%: $(OUT)/test/%.o $(OUT)/libdfffakes.a \
	$(OUT)/libdffshell.a $(OUT)/libdragonflyfall.a
	$(CC) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(PKG_LIBS)

$(BENCH_PROGRAMS): $(OUT)/%: $(OUT)/bench/%.o $(OUT)/libdfffakes.a \
	$(OUT)/libdffshell.a $(OUT)/libdragonflyfall.a
	$(CC) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

deps:
	apt-get update -q
	DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
	    --no-install-recommends $(BUILD_PACKAGES) \
	    $(TEST_PACKAGES)

check:
	@pkg-config --exists $(LIBS) check && command -v strace >/dev/null || \
	    $(MAKE) deps
	$(MAKE) MODE=plain tests
	$(MAKE) MODE=asan tests
	test/run build/plain build/asan

# Each mechanism off, one by one: which proof fails?
faults:
	$(MAKE) MODE=fault build/fault/test_explore build/fault/test_scenarios \
	    build/fault/test_node build/fault/test_history \
	    build/fault/test_relay build/fault/test_relay_upstreams \
	    build/fault/test_relay_budget build/fault/test_relay_frame_receive \
	    build/fault/test_relay_load build/fault/test_relay_place \
	    build/fault/test_relay_events \
	    build/fault/test_relay_unreachable build/fault/test_relay_frame_send build/fault/test_relay_send_timing \
	    build/fault/test_relay_notice build/fault/test_relay_suspect build/fault/test_relay_readers build/fault/test_relay_stream_gaps \
	    build/fault/test_process_h1 build/fault/test_platform_wire \
	    build/fault/test_process_platform_store \
	    build/fault/test_process_edge build/fault/test_process_held \
	    build/fault/dff-edge
	test/faults build/fault

lint:
	@command -v clang-format cppcheck >/dev/null || $(MAKE) deps
	clang-format --dry-run --Werror $(SOURCES)
	cppcheck --quiet --std=c11 --enable=warning,performance,portability \
	    --error-exitcode=1 --inline-suppr --suppress=missingIncludeSystem \
	    --suppress=unknownMacro -j 8 -Iinclude -Isource \
	    $(filter %.c,$(SOURCES))

format:
	clang-format -i $(SOURCES)

demo: all
	bench/demo $(OUT)

bench:
	$(MAKE) MODE=plain tests
	bench/run build/plain

capacity:
	$(MAKE) MODE=plain tests
	bench/capacity build/plain

# Only after a change of the .proto file; needs protobuf-c-compiler.
generate:
	cd source/proto && protoc-c --c_out=. dragonflyfall.proto

clean:
	rm -rf build target

-include $(shell find $(OUT) -name '*.d' 2>/dev/null)
