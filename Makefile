# Entry point for building, testing and measuring. `make help` lists the targets.
GOFUMPT_VERSION := v0.12.0
GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.22.0
GOBIN := $(shell go env GOPATH)/bin
LOCAL := github.com/lagoonkeel/lagoonkeel
GO_DIRS := cmd internal pkg platform

.PHONY: help build test format lint vet tools rename-tools demo demo-processes demo-platform soak model fuzz-seeds measure measure-rates generate ci

help: ## List the targets.
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## Build the programs into bin/.
	go build -o bin/ ./cmd/... ./platform/lagoonkeel-emulator

test: ## Run the tests with the race detector.
	go test -race -timeout 10m ./...

format: ## Format the code.
	$(GOBIN)/gofumpt -w $(GO_DIRS)

format-check: ## Fail if a file is not formatted.
	@files="$$($(GOBIN)/gofumpt -l $(GO_DIRS))"; test -z "$$files" || { echo "not formatted, run make format:"; echo "$$files"; exit 1; }

lint: ## Run the linter.
	$(GOBIN)/golangci-lint run --allow-parallel-runners ./...

demo: ## Run the whole request path in one process.
	go run ./cmd/lagoonkeel demo

demo-processes: build ## Run the whole request path with separate processes.
	bash scripts/demo-processes.sh

demo-platform: build ## Run the request path on the platform's store with separate processes.
	bash platform/demo.sh

measure-rates: ## Measure fleet-wide rate limiting and the fair queue.
	go test -run '^$$' -bench 'MeasureRates|MeasureQueue' -benchtime 1x ./internal/borrower ./internal/queuer
	go test -run '^$$' -bench MeasureRateMessage -benchtime 20000x ./internal/messenger
	go test -run '^$$' -bench MeasureAdmit -benchtime 500000x -cpu 1,4 ./internal/borrower

vet: ## Run go vet.
	go vet ./...

tools: ## Install the formatter and the linter.
	@test -x $(GOBIN)/gofumpt || go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	@test -x $(GOBIN)/golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

rename-tools: ## Install gopls, for renames across the repository; CI does not use it.
	@test -x $(GOBIN)/gopls || go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

SOAK_SEEDS ?= 50
SOAK_FIRST ?= 0

soak: ## Run the real programs under injected faults, with SOAK_SEEDS seeds from SOAK_FIRST on (0: by the time of day).
	go test -count=1 -timeout 60m ./platform/soaker -run 'TestSoak|TestCrashSoak|TestBrokenSoak|TestChangeSoak' -soak.seeds=$(SOAK_SEEDS) -soak.first=$(SOAK_FIRST) -soak.together=5

model: ## Model-check the membership protocol and the claims (needs spin and gcc; about a minute and a half).
	bash model/check.sh
	bash model/claims.sh

measure: measure-rates ## Run every measurement; the tests TestMeasure* write JSON files to measure/.
	mkdir -p measure
	LAGOONKEEL_MEASURE=$(CURDIR)/measure go test -count=1 -p 1 -timeout 30m -v -run '^TestMeasure' ./...

generate: ## Generate the code of the messages between VMs (needs buf and its plugins).
	buf generate

ci: ## Run everything that CI runs.
	bash .ci/run
