# The targets set up a virtual environment on first use.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0
SEED ?= 1

.PHONY: all setup test lint format gen slopes

all: lint test

setup: $(BIN)/.installed

$(BIN)/.installed: requirements/dev.lock
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.lock
	touch $@

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/black --check --quiet src tests bench
	$(BIN)/isort --check-only --quiet src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/mypy --no-error-summary src

slopes: setup
	$(BIN)/python -m bench.slopes

format: setup
	$(BIN)/black --quiet src tests bench
	$(BIN)/isort --quiet src tests bench

# The generator is only needed after a change of peer.thrift; its output is committed.
gen:
	rm -rf build/thrift && mkdir -p build/thrift
	thrift --gen py:slots -out build/thrift src/mangohatch/peer/peer.thrift
	cp build/thrift/mangohatch/peer/gen/*.py src/mangohatch/peer/gen/
