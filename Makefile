# VENV is where the environment lies; `make build` makes it.
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: build check lint test run clean

build: $(BIN)/millethead

$(BIN)/millethead: pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip -q install -e '.[dev]'
	touch $@

check: lint test

lint: build
	$(BIN)/ruff check .
	$(BIN)/mypy

test: build
	$(BIN)/pytest

run: build
	$(BIN)/millethead serve

clean:
	rm -rf $(VENV) .mypy_cache .pytest_cache .ruff_cache
