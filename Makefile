# The programs run from a virtual environment of their own.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PORT ?= 8080

.PHONY: demo test serve lint docs bench slopes storm soak install

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

# The long form of the soak of the gateway's programs; SEEDS=7,8 plays these.
SEEDS ?= 1,2,3,4,5,6,7,8,9,10
soak: install
	CITRONDYKE_SOAK_S=$${CITRONDYKE_SOAK_S:-20} CITRONDYKE_SOAK_SEEDS=$${CITRONDYKE_SOAK_SEEDS:-$(SEEDS)} \
	$(BIN)/python -m pytest tests/test_soak -k soak -n 0 -s
