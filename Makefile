SITE ?= luzon
TOOLS := $(or $(PAPAYAPASS_TOOLS),$(HOME)/.cache/papayapass-tools)
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)
PROTOC_GEN_GO_VERSION := v1.36.12
MODULES := shared papayapass platform standin

.PHONY: build demo test fuzz lint format bench capacity generate clean

build:
	go build -o bin/papayapass ./papayapass/cmd/papayapass
	go build -o bin/standin ./standin/cmd/standin

demo: build
	bin/standin demo --site $(SITE)

# Tests that KNOWN-RED.txt names are passed over; .ci/run prints them.
KNOWN_RED = $(shell sed -n 's/^Test: //p' KNOWN-RED.txt | paste -sd '|' -)

# The model test with the race detector takes minutes on a free machine and more on a busy one.
TEST_TIMEOUT ?= 30m

# The crowds of clients run on their own, apart from other load.
CROWDS = Crowds

test:
	go test -race -timeout $(TEST_TIMEOUT) -skip '$(if $(KNOWN_RED),$(KNOWN_RED)|)$(CROWDS)' $(foreach m,$(MODULES),./$(m)/...)
	go test -race -timeout $(TEST_TIMEOUT) $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') -run '$(CROWDS)' ./platform
	cd papayapass && go test -tags mutation -run Mutation ./internal/...

$(GOLANGCI):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS)/build go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/build/golangci-lint $@

lint: $(GOLANGCI)
	$(foreach m,$(MODULES),(cd $(m) && $(GOLANGCI) run --config ../.golangci.yml ./...) &&) true

format: $(GOLANGCI)
	$(foreach m,$(MODULES),(cd $(m) && $(GOLANGCI) fmt --config ../.golangci.yml ./...) &&) true

bench: build
	cd papayapass && go test -run '^$$' -bench . -benchmem ./internal/...
	bin/standin path
	bin/standin bench --naive

generate:
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	cd papayapass && PATH="$(TOOLS):$$PATH" protoc -I proto --go_out=. --go_opt=module=papayapass.dev/papayapass proto/wire.proto

clean:
	rm -rf bin out

FUZZ_COUNT ?= 20000x

fuzz:
	cd papayapass && go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_COUNT) ./internal/parser
	cd papayapass && go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZ_COUNT) ./internal/messenger
	cd papayapass && go test -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZ_COUNT) ./internal/exchanger
	cd papayapass && go test -run '^$$' -fuzz FuzzOpen -fuzztime $(FUZZ_COUNT) ./internal/enveloper
	cd papayapass && go test -run '^$$' -fuzz FuzzCheck -fuzztime $(FUZZ_COUNT) ./internal/checker
	go test -run '^$$' -fuzz FuzzDecodeHeartbeat -fuzztime $(FUZZ_COUNT) ./platform
	go test -run '^$$' -fuzz FuzzDecodeObject -fuzztime $(FUZZ_COUNT) ./platform
	go test -run '^$$' -fuzz FuzzDecodeConfiguration -fuzztime $(FUZZ_COUNT) ./platform
	cd shared && go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZ_COUNT) ./announcer

capacity:
	go build -o bin/capacity ./papayapass/cmd/capacity
	bin/capacity
