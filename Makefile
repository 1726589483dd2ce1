# The programs run from a virtual environment of their own.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PORT ?= 8080

.PHONY: demo test serve lint docs bench slopes storm install

install: $(VENV)/installed

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[test,docs,bench]'
	touch $@

# Starts everything in one process, runs the demonstration against it, and ends it again.
demo: install
	@$(BIN)/citrondyked --embedded --port $(PORT) & server=$$!; \
	$(BIN)/python -m citrondyke.cmd.demo --port $(PORT); result=$$?; \
	kill $$server; wait $$server; exit $$result

# Stays up until it is interrupted.
serve: install
	$(BIN)/citrondyked --embedded --port $(PORT)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

docs: install
	$(BIN)/sphinx-build -q -W --keep-going -b html docs docs/_build/html

test: lint docs
	$(BIN)/python -m pytest

bench: install
	$(BIN)/python -m benchmarks.run

slopes: install
	$(BIN)/python -m benchmarks.slopes

# The long form of the storm test; SEED=N repeats one.
storm: install
	CITRONDYKE_STORM_S=60 $(BIN)/python -m pytest tests/test_storm -s
