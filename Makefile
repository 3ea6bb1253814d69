# The targets set up a virtual environment on first use.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0
SEED ?= 1
HOLD ?= 0
SOURCES := src tests bench demo tooling

.PHONY: all setup test lint format gen slopes bench-peers bench-fleet demo bench binary reference history crash-soak sign-soak evacuation-soak cold-soak quota-soak directory-soak process-soak released

all: lint test

setup: $(BIN)/.installed

$(BIN)/.installed: requirements/dev.lock
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.lock
	touch $@

test: setup
	$(BIN)/python -m tests

# Longer runs of the concurrent histories; SEED selects them.
history: setup
	$(BIN)/python -m tests.state.machine --seed $(SEED)
	$(BIN)/python -m tests.peer.membership.machine --seed $(SEED)
	$(BIN)/python -m tests.orders.machine --seed $(SEED)
	$(BIN)/python -m tests.core.limits.cold_machine --seed $(SEED)

# Crashing requests on simulated fleets, 50 seeds from SEED on.
crash-soak: setup
	$(BIN)/python -m tests.fleet.crash_soak --first $(SEED)

# Upstreams that leave or ask for pauses on simulated fleets, 50 seeds from SEED on.
sign-soak: setup
	$(BIN)/python -m tests.fleet.sign_soak --first $(SEED)

# Evacuations of zones on simulated fleets of up to 311 hosts, 50 seeds from SEED on.
evacuation-soak: setup
	$(BIN)/python -m tests.fleet.evacuation_soak --first $(SEED)

# Upstreams that return cold on simulated fleets, 50 seeds from SEED on.
cold-soak: setup
	$(BIN)/python -m tests.fleet.cold_soak --first $(SEED)

# Client accounts with quotas on simulated fleets, 50 seeds from SEED on.
quota-soak: setup
	$(BIN)/python -m tests.fleet.quota_soak --first $(SEED)

# Changes of the directory on 17 and 136 hosts in trouble, 50 seeds from SEED on.
directory-soak: setup
	$(BIN)/python -m tests.directory.soak --first $(SEED)

lint: setup
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/isort --check-only --quiet $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy --no-error-summary src

slopes: setup
	$(BIN)/python -m bench.slopes

bench-peers: setup
	$(BIN)/python -m bench.peers
	$(BIN)/python -m bench.orders

# Real hosts, 50 seeds from SEED on; settings and logs go to build/process-soak.
process-soak: setup
	$(BIN)/python -m tests.soak --first $(SEED) --folder build/process-soak

# Whole fleets in virtual time; rewrites a table in docs/CAPACITY.md.
bench-fleet: setup
	$(BIN)/python -m bench.fleet

format: setup
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/isort --quiet $(SOURCES)

# The generator is only needed after a change of peer.thrift; its output is committed.
gen:
	rm -rf build/thrift && mkdir -p build/thrift
	thrift --gen py:slots -out build/thrift src/mangohatch/peer/peer.thrift
	cp build/thrift/mangohatch/peer/gen/*.py src/mangohatch/peer/gen/

# Writes tests/peer/released/$(RELEASE) from the code in $(RELEASED_SRC), once a release.
RELEASED_SRC ?= src
released: setup
	PYTHONPATH=$(RELEASED_SRC) $(BIN)/python tooling/released_frames.py tests/peer/released/$(RELEASE)

demo: setup
	$(BIN)/python -m demo --seed $(SEED) --hold $(HOLD)

bench: setup
	$(BIN)/python -m bench.virtual
	$(BIN)/python -m bench.live --seed $(SEED)
	$(BIN)/python -m bench.overhead

binary: setup
	$(BIN)/python -m tooling.binary
	$(BIN)/python -m tooling.binary_check

reference: setup
	$(BIN)/python -m tooling.reference
