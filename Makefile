# make demo and make test need Go alone; the other targets also use the tools module.
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
GOFILES = $$(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: build test soak demo format check-format lint proto capacity fuzz

build:
	$(GO) build -o bin/cranberrypath ./cmd/cranberrypath

# The packages that run whole deployments with leases on real sockets come last,
# one at a time and a few tests at a time: their leases lapse when compilers and
# other tests starve them of processor time.
DEPLOYMENTS = internal/site internal/manage internal/coord platform/soak platform/abuse platform
OTHERS = $$($(GO) list ./... | grep -v $(DEPLOYMENTS:%=-e /%$$))
TEST = $(GO) test -race -timeout 20m -skip "$$(sed -n 's/^test: \(.*\)$$/^\1$$/p' KNOWN-RED.txt | paste -sd'|' -)"
test:
	@cat KNOWN-RED.txt
	@failed=0; \
	$(TEST) -p 4 $(OTHERS) || failed=1; \
	$(TEST) -p 1 -parallel 4 $(DEPLOYMENTS:%=./%) || failed=1; \
	exit $$failed

demo:
	$(GO) run ./cmd/cranberrypath demo

format:
	$(TOOL) gofumpt -w $(GOFILES)

check-format:
	@out=$$($(TOOL) gofumpt -l $(GOFILES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(TOOL) staticcheck ./...

# Needs protoc (Debian package protobuf-compiler). Its output is committed.
proto:
	$(GO) build -modfile=tools/go.mod -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	for f in $$(git ls-files -co --exclude-standard '*.proto'); do \
		protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative $$f || exit 1; done

# Prints the inputs of docs/CAPACITY.md. One package at a time, so that the
# benchmarks do not disturb each other.
capacity:
	$(GO) test -p 1 -run '^$$' -bench '^Benchmark(Call|Pull|Wire|Confirm|Apply|Claim|ClaimBytes|Record|Idle|Copy|AppendRead|Report|Verdict|Allocate|Decide|Next|Pick|Memory|DecodeAnnouncement|DecodeAnnouncement100Blocks|EncodeReply|StreamEvent|Sync|Cells|Choose|ReadBody)$$' \
		-benchtime 300ms ./internal/link ./internal/member ./internal/watch ./internal/store ./internal/claim \
		./internal/stream ./internal/judge ./internal/limit ./internal/fleet ./internal/moves ./internal/route \
		./internal/backnd ./internal/disk ./internal/cells ./internal/guard

# Runs the program as separate processes and disturbs them from outside.
SEED ?= 1
SECONDS ?= 60
INSTANCES ?= 5
soak:
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS) SOAK_INSTANCES=$(INSTANCES) $(GO) test -count=1 -timeout 60m -v -run TestSoak ./platform/soak

# Fuzzes the readers and decoders of what callers, servers and operators send. make test runs
# their seeds.
FUZZTIME ?= 10s
fuzz:
	for target in ./internal/guard:FuzzReadBody ./internal/guard:FuzzConnection ./internal/link:FuzzReadFrame ./internal/intact:FuzzScanner \
		./platform:FuzzDecodeConfig ./platform:FuzzDecodeHeartbeat ./platform:FuzzDecodeRollout ./platform:FuzzParseHeaders; do \
		$(GO) test -run '^$$' -fuzz "^$${target#*:}$$" -fuzztime $(FUZZTIME) $${target%:*} || exit 1; done
