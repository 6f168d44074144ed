PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-$(shell cksum < requirements.lock | cut -d' ' -f1)

.PHONY: demo test lint format types soak bench colocation capacity

# The name holds the checksum of the lock, so a changed lock makes a new stamp.
$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: $(STAMP)
	$(BIN)/python -m standins.demo

test: $(STAMP)
	$(BIN)/python -m tests.run

lint: $(STAMP)
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: $(STAMP)
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .

# Reports only; the errors are not zero yet, so CI does not run it.
types: $(STAMP)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-types.lock
	$(BIN)/mypy --python-version 3.11 --ignore-missing-imports \
	    coltsfootpier standins soak benchmarks tests

soak: $(STAMP)
	$(BIN)/python -m soak $(ARGS)

colocation: $(STAMP)
	$(BIN)/python -m benchmarks.colocation $(ARGS)

bench: $(STAMP)
	$(BIN)/python -m benchmarks.bench $(ARGS)

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity $(ARGS)
