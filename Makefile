# Pinned versions of the tools that "make lint" and "make format" run.
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2

GO_FILES := $(shell git ls-files '*.go' | grep -vE '\.(pb|twirp)\.go$$')

.PHONY: all build format lint test check long generate

all: check

build:
	go build -o bin/ ./cmd/...

format:
	go run $(GOFUMPT) -w $(GO_FILES)

lint:
	@out=$$(go run $(GOFUMPT) -l $(GO_FILES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	go vet ./...
	go run $(STATICCHECK) ./...

# Skips exactly the tests in the "test:" lines of KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)

# The race detector fails on large fleets in synctest bubbles, so these run without it.
test:
	go test -run '^TestPrimaryLostByMostIsReplaced$$' ./internal/primacy
	go test -race -timeout 9m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

# All checks: format, lint, build and tests.
check: lint build test

# The long runs of the whole-process tests; see docs/measurements.md.
long:
	GERANIUMBEAM_LONG=1 go test -count=1 -timeout 80m -v ./test/...

# Needs buf, protoc-gen-go and protoc-gen-twirp, which the build does not need.
generate:
	buf generate
