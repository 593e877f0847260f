# Commands of the project; README.md says what each is for.
GO      ?= go
BIN     := bin
TOOLS   := $(CURDIR)/$(BIN)/tools
PROGRAMS := pier-router pier-agent pierctl pier-fake pier-load pier-edge pier-soak

.PHONY: build test demo up prove soak mutants lint format check-format unit tools bench

build:
	$(GO) build -o $(BIN)/ $(addprefix ./cmd/,$(PROGRAMS))

tools:
	cd tools && $(GO) build -o $(TOOLS)/ github.com/golangci/golangci-lint/v2/cmd/golangci-lint mvdan.cc/gofumpt

format: tools
	$(TOOLS)/gofumpt -w cmd internal platform

check-format: tools
	@out=$$($(TOOLS)/gofumpt -l cmd internal platform); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi

lint: tools
	$(TOOLS)/golangci-lint run --timeout 10m ./...

unit:
	scripts/unit

# What CI runs.
test: check-format lint build unit

# Starts a small fleet, sends requests of every kind, drains it and exits.
demo: build
	scripts/fleet demo

# The same fleet in the foreground, until interrupted.
up: build
	scripts/fleet up

# The proofs with separate processes; SEED and ROUNDS may be set.
prove: build
	scripts/prove

# The pure cores under random schedules: make soak SEED=1 STEPS=1000000
soak:
	SEED="$(SEED)" STEPS="$(STEPS)" scripts/soak

# Switches off the mechanism behind each point that must hold; tests must fail.
mutants:
	scripts/mutants

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...
