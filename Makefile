# Builds the programs and runs the tests, the checks, the demo and the
# benchmarks. See README.md.

BUILD    ?= build
SANITIZE ?=
CC       ?= gcc
JOBS     ?= $(shell nproc)

PACKAGES = build-essential pkg-config curl libevent-dev libzmq3-dev \
	libprotobuf-c-dev libyaml-dev libjson-glib-dev libyajl-dev liblog4c-dev \
	libglib2.0-dev libxxhash-dev libtalloc-dev libssl-dev libhttp-parser-dev \
	zlib1g-dev gnuplot-nox
LINT_PACKAGES = clang clang-format clang-tidy libclang-rt-14-dev \
	protobuf-c-compiler protobuf-compiler doxygen spin

LIBS = libevent libevent_openssl libzmq libprotobuf-c yaml-0.1 \
	json-glib-1.0 yajl glib-2.0 gobject-2.0 libxxhash talloc openssl zlib

CPPFLAGS += -D_GNU_SOURCE -iquote . -iquote generated
CFLAGS   ?= -O2 -g
WARNINGS  = -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-unused-parameter
PKG_CFLAGS = $(shell pkg-config --cflags $(LIBS))
PKG_LIBS   = $(shell pkg-config --libs $(LIBS)) -llog4c -lhttp_parser -lm

ifneq ($(SANITIZE),)
CFLAGS += -fsanitize=$(SANITIZE) -fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined
endif

# Library sources are at the top level; every builtin/lwm-*.c is a program,
# and builtin/cmd-*.c are the operator command's subcommands.
LIB_SRC  = $(wildcard *.c) $(wildcard generated/*.c)
LIB_OBJ  = $(LIB_SRC:%.c=$(BUILD)/%.o)
CMD_OBJ  = $(patsubst %.c,$(BUILD)/%.o,$(wildcard builtin/cmd-*.c))
DAEMONS  = $(patsubst builtin/%.c,%,$(wildcard builtin/lwm-*.c))
PROGRAMS = $(DAEMONS) $(patsubst builtin/%.c,%,$(wildcard builtin/lacewingmast.c))
PLATFORM_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out platform/lwm-%,\
	$(wildcard platform/*.c)))
PLATFORM_PROGRAMS = $(patsubst platform/%.c,%,$(wildcard platform/lwm-*.c))
TESTS    = $(patsubst t/%.c,%,$(wildcard t/t[0-9]*.c))
TEST_LIB = $(patsubst %.c,$(BUILD)/%.o,$(wildcard t/lib-*.c))
PROTOS   = $(wildcard proto/*.proto)
OWN_SRC  = $(wildcard *.c *.h builtin/*.c builtin/*.h t/*.c t/*.h \
	fuzz/*.c platform/*.c platform/*.h)

.PHONY: all platform tests check check-built soak demo bench bench-control bench-placement bench-pace slopes model fuzz \
	lint lint-deps format deps generate check-generated clean

all: $(PROGRAMS:%=$(BUILD)/%) platform

# The programs that deploy/system.toml starts.
platform: $(PLATFORM_PROGRAMS:%=$(BUILD)/%)

tests: all $(BUILD)/lwm-controld-faults $(TESTS:%=$(BUILD)/t/%)

# Keeps object files between runs: make would delete them as intermediates.
.SECONDARY:

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(WARNINGS) $(PKG_CFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/liblwm.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(DAEMONS:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/builtin/%.o $(BUILD)/liblwm.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(PLATFORM_PROGRAMS:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/platform/%.o \
		$(PLATFORM_OBJ) $(BUILD)/liblwm.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

# The control daemon built with fault injection points, for tests only.
FAULT_OBJ = $(patsubst %,$(BUILD)/faults/%.o,fault file store wal snapshot)

$(BUILD)/faults/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) -DLWM_FAULTS $(WARNINGS) $(PKG_CFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/lwm-controld-faults: $(BUILD)/builtin/lwm-controld.o $(FAULT_OBJ) $(BUILD)/liblwm.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/lacewingmast: $(BUILD)/builtin/lacewingmast.o $(CMD_OBJ) $(BUILD)/liblwm.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

# A corpus test runs the fuzz target of its area on the files of its corpus.
$(BUILD)/t/t5010-control-corpus: $(BUILD)/fuzz/fuzz-control.o

$(BUILD)/t/t8100-platform: $(PLATFORM_OBJ)

$(BUILD)/t/t8101-platform-config: $(PLATFORM_OBJ)

$(BUILD)/t/t8110-platform-corpus: $(BUILD)/fuzz/fuzz-platform.o $(PLATFORM_OBJ)

$(BUILD)/t/t8074-share-corpus: $(BUILD)/fuzz/fuzz-share.o

$(BUILD)/t/t0009-json-text: $(BUILD)/fuzz/fuzz-json.o

$(BUILD)/t/%: $(BUILD)/t/%.o $(TEST_LIB) $(BUILD)/liblwm.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(PKG_LIBS)

check: deps
	@$(MAKE) -j$(JOBS) check-built

check-built: tests
	@BUILD=$(BUILD) t/run

# Runs the soak test with one seed for MINUTES minutes, for example:
#   make soak SEED=7 MINUTES=2
SEED    ?= $(shell od -An -N3 -tu4 /dev/urandom | tr -d ' ')
MINUTES ?= 1

soak: tests
	@echo "soak: seed $(SEED), $(MINUTES) minutes"
	@SOAK_SEED=$(SEED) SOAK_SECONDS=$$(($(MINUTES) * 60)) LWM_BUILD=$(BUILD) \
		$(BUILD)/t/t9000-soak --verbose -p /soak/seeds

demo: deps
	@$(MAKE) -s -j$(JOBS) all
	@BUILD=$(BUILD) t/demo.sh

bench: all
	@BUILD=$(BUILD) t/bench.sh

# Runs the benchmarks of the control group only; EXPERIMENT=NAME selects one.
bench-control: all $(BUILD)/t/bench-control
	@LWM_BUILD=$(BUILD) $(BUILD)/t/bench-control $(EXPERIMENT)

# Compares ways of placing requests on simulated engines; SEEDS runs each.
SEEDS ?= 2

bench-placement: $(BUILD)/t/bench-placement
	@$(BUILD)/t/bench-placement $(SEEDS)

# Compares ways of limiting the requests at upstreams that start or return.
bench-pace: $(BUILD)/t/bench-pace
	@$(BUILD)/t/bench-pace $(SEEDS)

slopes: all
	@BUILD=$(BUILD) t/slopes.sh

# Installs the Debian packages that are missing; does nothing when all are
# installed.
deps:
	@t/deps.sh $(PACKAGES) $(EXTRA_PACKAGES)

lint-deps:
	@t/deps.sh $(PACKAGES) $(LINT_PACKAGES)

# Runs each fuzz target for FUZZ_SECONDS, starting from its fixed corpus in t/.
FUZZ_SECONDS ?= 20
FUZZ_FLAGS    = -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined

fuzz:
	@mkdir -p $(BUILD)/fuzz/found-control
	clang $(CPPFLAGS) -std=gnu11 $(PKG_CFLAGS) -O1 -g $(FUZZ_FLAGS) \
		-o $(BUILD)/fuzz/fuzz-control fuzz/fuzz-control.c frame.c file.c \
		base.c members.c snapshot.c generated/control.pb-c.c $(PKG_LIBS)
	$(BUILD)/fuzz/fuzz-control -seed=1 -max_total_time=$(FUZZ_SECONDS) \
		-artifact_prefix=$(BUILD)/fuzz/ -print_final_stats=1 \
		$(BUILD)/fuzz/found-control t/corpus-control
	@mkdir -p $(BUILD)/fuzz/found-platform
	clang $(CPPFLAGS) -std=gnu11 $(PKG_CFLAGS) -O1 -g $(FUZZ_FLAGS) \
		-o $(BUILD)/fuzz/fuzz-platform fuzz/fuzz-platform.c \
		$(filter-out platform/lwm-%,$(wildcard platform/*.c)) $(LIB_SRC) \
		$(PKG_LIBS)
	$(BUILD)/fuzz/fuzz-platform -seed=1 -max_total_time=$(FUZZ_SECONDS) \
		-artifact_prefix=$(BUILD)/fuzz/ -print_final_stats=1 \
		$(BUILD)/fuzz/found-platform t/corpus-platform

	@mkdir -p $(BUILD)/fuzz/found-share
	clang $(CPPFLAGS) -std=gnu11 $(PKG_CFLAGS) -O1 -g $(FUZZ_FLAGS) \
		-o $(BUILD)/fuzz/fuzz-share fuzz/fuzz-share.c $(LIB_SRC) $(PKG_LIBS)
	$(BUILD)/fuzz/fuzz-share -seed=1 -max_total_time=$(FUZZ_SECONDS) \
		-artifact_prefix=$(BUILD)/fuzz/ -print_final_stats=1 \
		$(BUILD)/fuzz/found-share t/corpus-share
	@mkdir -p $(BUILD)/fuzz/found-json
	clang $(CPPFLAGS) -std=gnu11 $(PKG_CFLAGS) -O1 -g $(FUZZ_FLAGS) \
		-o $(BUILD)/fuzz/fuzz-json fuzz/fuzz-json.c $(LIB_SRC) $(PKG_LIBS)
	$(BUILD)/fuzz/fuzz-json -seed=1 -max_total_time=$(FUZZ_SECONDS) \
		-artifact_prefix=$(BUILD)/fuzz/ -print_final_stats=1 \
		$(BUILD)/fuzz/found-json fuzz/corpus-json

# Checks the bounded models in model/ exhaustively with spin.
model:
	@BUILD=$(BUILD) model/run.sh

lint:
	@t/names.sh
	@t/logs.sh
	@t/lint.sh '$(CPPFLAGS) -std=gnu11 $(PKG_CFLAGS)' $(OWN_SRC)

format:
	@clang-format -i $(OWN_SRC)

generate:
	@protoc-c --proto_path=proto --c_out=generated $(notdir $(PROTOS))

check-generated:
	@t/check-generated.sh

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
