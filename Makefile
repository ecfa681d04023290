.PHONY: test fuzz bench demo

# test is the README's test command. Seeds are fixed. Few packages run at once,
# so that those with real sockets get the processor time they need. Results are
# not cached, because one test builds the program, which the cache does not see.
# The tests of platform/abuse and platform/restore load the machine and run last.
# The tests of internal/discovery run in several processes, since the race detector
# may end one that uses many timers at once, see KNOWN-RED.txt.
# TEST_SKIP is a pattern of tests to leave out.
DISCOVERY_PARTS = Change Restore
discovery_rest = ^Test($(subst $(space),|,$(DISCOVERY_PARTS)))
space := $(subst ,, )
test:
	go test -race -count=1 -p 3 -timeout 20m -skip "$$TEST_SKIP" $$(go list ./... | grep -vE '/(internal/discovery|platform/(abuse|restore))$$')
	for part in $(DISCOVERY_PARTS); do \
		go test -race -count=1 -timeout 20m -run "^Test$$part" -skip "$$TEST_SKIP" ./internal/discovery || exit 1; \
	done
	go test -race -count=1 -timeout 20m -skip "$(discovery_rest)$${TEST_SKIP:+|$$TEST_SKIP}" ./internal/discovery
	go test -race -count=1 -timeout 20m -skip "$$TEST_SKIP" ./platform/abuse
	go test -race -count=1 -timeout 20m -skip "$$TEST_SKIP" ./platform/restore

# fuzz runs the stateful tests for longer, at a random seed.
FUZZ_CHECKS ?= 50000
fuzz:
	go test -timeout 60m ./internal/dispatch ./internal/relay ./internal/rollout -run 'Machine' -rapid.seed=0 -rapid.checks=$(FUZZ_CHECKS)

bench:
	go test -run '^$$' -bench . -benchmem ./...

demo:
	go run ./cmd/vanillabarrow demo
