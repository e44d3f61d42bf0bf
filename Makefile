# Targets for a fresh machine. The only needs are Go, a C compiler and make;
# libraries come through the module proxy that the go command is set to.

BIN := bin
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo unversioned)
LDFLAGS := -X github.com/micaplank/micaplank/internal/version.Version=$(VERSION)
PROGRAMS := micaplank micactl micarehearse

.PHONY: all build test check fuzz demo demo-platform soak soak-short bench clean

all: build

build:
	mkdir -p $(BIN)
	go build -ldflags "$(LDFLAGS)" -o $(BIN)/ $(addprefix ./cmd/,$(PROGRAMS))

# A fixed seed gives property-based tests the same verdict in every run.
export RAPID_SEED ?= 1

# TEST_SKIP, a regular expression, names tests to pass over.
test:
	go test $${TEST_SKIP:+-skip "$$TEST_SKIP"} ./...

# check is what continuous integration runs besides the tests.
check:
	@unformatted=$$(gofmt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "gofmt would change:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	.ci/deadcode

demo: build
	$(BIN)/micarehearse demo --binaries $(BIN)

# The node behind the adapter, in front of a stand-in of the platform.
demo-platform:
	go build -o target/ ./platform/micaplank-edge
	go run ./platform/platformtest/demo --binary target/micaplank-edge

# Random faults against real nodes: the kept seeds, and SOAK_FRESH new ones.
soak:
	experiments/soak/play.sh $(SOAK_FRESH)

# Seeds that are played in continuous integration: few nodes, half a minute of faults, and leaves that
# answer twice.
soak-short:
	go build -o target/ ./platform/micaplank-edge ./platform/platformtest/soak ./platform/platformtest/surplus
	target/soak --seed 501 --duration 30s --nodes 8 --shards 4 --rate 60
	target/surplus --seed 501 --duration 8s --rate 200 --kinds second,copy,unframed --share 0.2 --split 0.2 --failures 0.05 --sheds 0.05 --leave 0.03

bench:
	go test -run '^$$' -bench . -benchmem ./internal/... ./platform/...

clean:
	rm -rf $(BIN) out target
