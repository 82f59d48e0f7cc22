# Every target creates .venv from the pinned lock file first; only Python 3.11 is needed.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: test lint format demo up proofs bench capacity

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $@

test: $(VENV)/.installed
	$(RUN) -m pytest

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
	$(RUN) -m pytest -m proof

bench: $(VENV)/.installed
	$(RUN) -m tools.bench

capacity: $(VENV)/.installed
	$(RUN) -m tools.capacity
