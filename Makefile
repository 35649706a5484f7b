# make          builds ./skylarkspar
# make test     installs what is missing, builds and runs every test
# make demo     the same set-up, then the main job from end to end
# make bench    policy tables; make slopes: cost at the letter's size
# SAN=address,undefined or SAN=thread builds into its own folder

CC ?= gcc
CXX ?= g++
SAN ?=
comma := ,
BUILD ?= build$(if $(SAN),-$(subst $(comma),-,$(SAN)))
PACKAGES := neon jansson zlib libsodium libmicrohttpd libtirpc liburcu-bp liburcu-cds
DEP_CFLAGS = $(shell pkg-config --cflags $(PACKAGES))
DEP_LIBS = $(shell pkg-config --libs $(PACKAGES)) -lev -lhttp_parser -lxxhash -lm -lpthread
SANFLAGS := $(if $(SAN),-fsanitize=$(SAN) -fno-omit-frame-pointer)
WARN := -Wall -Wextra -Werror
OPT ?= -O2 -g
CPPFLAGS += -Ilib -I. -D_GNU_SOURCE $(DEP_CFLAGS)
CFLAGS += -std=gnu11 $(OPT) $(WARN) $(SANFLAGS)
CXXFLAGS += -std=c++17 $(OPT) $(WARN) $(SANFLAGS)
LDFLAGS += $(SANFLAGS)

LIB_C := $(wildcard lib/*/*.c) $(wildcard platform/*.c) lib/peer/gen/skypeer_xdr.c
LIB_CXX := $(wildcard lib/*/*.cpp)
LIB_O := $(LIB_C:%.c=$(BUILD)/%.o) $(LIB_CXX:%.cpp=$(BUILD)/%.o)
PROG_O := $(patsubst %.c,$(BUILD)/%.o,$(wildcard programs/*.c))
# Linked into the host that tests run, in place of functions of its own.
CHECK_C := tests/fakes/connect_via.c tests/fakes/record_age.c
CHECK_O := $(CHECK_C:%.c=$(BUILD)/%.o)
FAKE_O := $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(CHECK_C),$(wildcard tests/fakes/*.c)))
RIG_O := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/rig/*.c))
DRIVER_O := $(patsubst %.c,$(BUILD)/%.o,$(wildcard bench/driver*.c) bench/oracle.c bench/stats.c)
TESTS := $(patsubst tests/%.cc,$(BUILD)/tests/%,$(wildcard tests/test_*.cc))
BENCHES := $(patsubst bench/bench_%.c,$(BUILD)/bench/%,$(wildcard bench/bench_*.c))

# Test builds stop at the first broken invariant.
TEST_LIB_O := $(patsubst $(BUILD)/%,$(BUILD)/abort/%,$(LIB_O))

.PHONY: all test demo bench slopes clean deps test-programs tests-only lint format
all: skylarkspar

skylarkspar: $(BUILD)/skylarkspar
	cp $< $@

$(BUILD)/skylarkspar: $(PROG_O) $(LIB_O)
	$(CXX) $(LDFLAGS) -o $@ $^ $(DEP_LIBS)
$(BUILD)/skylarkspar-check: $(PROG_O) $(TEST_LIB_O) $(CHECK_O)
	$(CXX) $(LDFLAGS) -Wl,--wrap=connect -Wl,--wrap=SkyFeed_AreRecordsUsable -o $@ $^ $(DEP_LIBS)
$(BUILD)/skyfake: $(FAKE_O) $(TEST_LIB_O)
	$(CXX) $(LDFLAGS) -o $@ $^ $(DEP_LIBS)
# The judge of promises links none of the product's code.
$(BUILD)/promise_rig: $(RIG_O)
	$(CC) $(LDFLAGS) -o $@ $^ -lpthread
$(BUILD)/tests/%: $(BUILD)/tests/%.o $(DRIVER_O) $(TEST_LIB_O)
	$(CXX) $(LDFLAGS) -o $@ $^ $(DEP_LIBS) -lgtest -lgtest_main
$(BUILD)/bench/%: $(BUILD)/bench/bench_%.o $(DRIVER_O) $(TEST_LIB_O)
	$(CXX) $(LDFLAGS) -o $@ $^ $(DEP_LIBS)

$(BUILD)/lib/peer/gen/%.o $(BUILD)/abort/lib/peer/gen/%.o: WARN :=
$(BUILD)/abort/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -DSKY_INVARIANT_ABORT -MMD -MP -c -o $@ $<
$(BUILD)/abort/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -DSKY_INVARIANT_ABORT -MMD -MP -c -o $@ $<
$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<
$(BUILD)/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<
$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

deps:
	scripts/deps.sh

test: deps
	$(MAKE) -j8 tests-only

test-programs: $(TESTS) $(BUILD)/skyfake $(BUILD)/skylarkspar-check $(BUILD)/promise_rig

tests-only: test-programs
	scripts/run-tests.sh $(BUILD) $(sort $(TESTS))

demo: deps
	$(MAKE) -j8 $(BUILD)/skyfake skylarkspar
	scripts/demo.sh $(BUILD)

bench: deps
	$(MAKE) -j8 $(BUILD)/bench/policy
	$(BUILD)/bench/policy
slopes: deps
	$(MAKE) -j8 $(BUILD)/bench/slopes
	$(BUILD)/bench/slopes

lint:
	scripts/lint.sh
format:
	clang-format -i $$(git ls-files '*.c' '*.h' '*.cpp' '*.cc' | grep -v '/gen/')
clean:
	rm -rf build build-* skylarkspar

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
