# make demo shows the product, make test proves it; the rest is for developers.
.PHONY: build demo test lint format bench idle slopes

build:
	go build -o bin/dunlinquay ./cmd/dunlinquay

demo: build
	./bin/dunlinquay demo

test:
	go test -race -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') ./...

bin/golangci-lint: tools/go.mod
	go build -modfile=tools/go.mod -o bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

bin/gopls: Makefile
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@v0.23.0

lint: bin/golangci-lint
	./bin/golangci-lint run ./...

format: bin/golangci-lint
	./bin/golangci-lint fmt

bench:
	cd measure && go run ./bench

idle: build
	cd measure && go run ./idle --binary ../bin/dunlinquay

slopes:
	cd measure && go run ./slopes --json ../out/slopes.json --plots ../out
