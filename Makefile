# Targets for developers. "make demo" and "make test" do all set-up themselves.
SHELL := /bin/bash
GOBIN := $(shell go env GOPATH)/bin
export PATH := $(GOBIN):$(PATH)
GO_FILES := $(shell git ls-files '*.go' 2>/dev/null)

.PHONY: build test demo lint tools generate generated unit fault race fuzz spec bench prove

build:
	go build -o bin/ ./cmd/... ./standin/...

tools:
	@.ci/tools

lint: tools
	@out=$$(gofmt -l $(GO_FILES)); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	go vet ./...
	staticcheck ./...
	revive -config .ci/revive.toml -set_exit_status -exclude internal/wire/wire.pb.go ./...

generate: tools
	protoc --go_out=. --go_opt=module=fulmarhinge internal/wire/wire.proto

generated: generate
	git diff --exit-code -- internal/wire/wire.pb.go

unit:
	.ci/gotest -count=1 $$(go list ./... | grep -v /test/)

# One package at a time: each starts a fleet of processes with time bounds.
fault:
	.ci/gotest -p 1 -count=1 ./test/...

# The packages left out here start no goroutine; "unit" runs them.
race:
	CGO_ENABLED=1 .ci/gotest -race -count=1 $$(go list ./internal/... | grep -v -E "/internal/(control|lease|placement)$$")

spec: tools
	spec/check

test: lint generated build unit race fuzz spec fault

# The driver is started as a program of its own, so that a signal to make
# reaches it and it ends the fleet.
demo: build
	go build -o bin/ ./test/demo
	bin/demo -bin bin

# Writes tables to standard output and JSON to bench-out/.
bench:
	go run ./test/bench/limits
	go run ./test/bench/placement --out bench-out/placement.json
	go run ./test/bench/fleet
	go run ./test/bench/baseline --out bench-out/baseline.json
	go run ./test/bench/configuration --out bench-out/configuration.json
	go run ./test/bench/cost --out bench-out/cost.json

# Runs the command behind each row of docs/PROOFS.md.
prove: tools
	.ci/prove

# Looks for new inputs beyond the committed corpora, which "unit" runs.
fuzz:
	go test ./internal/peer -run '^$$' -fuzz FuzzControl -fuzztime 5s
	go test ./internal/peer -run '^$$' -fuzz FuzzFrames -fuzztime 5s
	go test ./internal/fleet -run '^$$' -fuzz FuzzMessage -fuzztime 5s
	go test ./internal/backend -run '^$$' -fuzz FuzzServeStream -fuzztime 5s
