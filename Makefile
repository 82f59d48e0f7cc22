# Every target creates .venv from the pinned lock file first; only Python 3.11 is needed.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
# Tests that start real clusters have about ten processes each.
TEST_PROCESSES ?= 6

.PHONY: test lint format demo up proofs bench capacity

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $@

test: $(VENV)/.installed
	$(RUN) -m pytest -n auto --maxprocesses $(TEST_PROCESSES) --dist worksteal -m "not crowd"
	$(RUN) -m pytest -m crowd

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: $(VENV)/.installed
	$(RUN) -m tools.demo

up: $(VENV)/.installed
	$(RUN) -m tools.demo --keep

proofs: $(VENV)/.installed
	$(RUN) -m pytest -n auto --maxprocesses $(TEST_PROCESSES) --dist worksteal -m proof

bench: $(VENV)/.installed
	$(RUN) -m tools.bench

capacity: $(VENV)/.installed
	$(RUN) -m tools.capacity
