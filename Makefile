# VENV is where the environment lies; `make build` makes it.
VENV ?= .venv
BIN := $(VENV)/bin
PYTEST_PROCESSES ?= 6

# SITE_FILES is where the files lie that the bench wants beside a site; they are not ours to commit.
SITE_FILES ?= ../given/kit/more/mass/other
SYSTEM_SITE_FILES ?= ../given/kit/more/system/sites

.PHONY: build check lint test wheel-check packages-check sites run demo clean

build: $(BIN)/millethead

$(BIN)/millethead: pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip -q install -e '.[dev]'
	touch $@

check: lint test

lint: build
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# the tests are spread over processes, each with ports and folders of its own; PYTEST_PROCESSES=0 runs them one by one
test: build
	$(BIN)/pytest -n $(PYTEST_PROCESSES) --dist worksteal --durations=15

# builds the wheel (from a copy: what an earlier build left in the tree would be packed too), installs it in an environment of its own and starts it from there, outside the checkout
wheel-check: build
	rm -rf $(VENV)/wheel && mkdir -p $(VENV)/wheel/source
	git ls-files -co --exclude-standard millethead pyproject.toml README.md LICENSE | \
		tar -cf - -T - | tar -xf - -C $(VENV)/wheel/source
	$(BIN)/python -m pip -q wheel --no-deps -w $(VENV)/wheel/dist $(VENV)/wheel/source
	python3 -m venv $(VENV)/wheel/venv
	$(VENV)/wheel/venv/bin/python -m pip -q install $(VENV)/wheel/dist/*.whl
	$(BIN)/python tests/installed.py $(VENV)/wheel/venv/bin/millethead

# builds the system as on the operators' machines, and compares the system packages that it uses with the deploy file's
packages-check: build
	$(BIN)/python tests/build_packages.py

# lays the bench's files beside the sites of deploy/sites, before a score of one of them
sites:
	cp $(SITE_FILES)/wire.json $(SITE_FILES)/real.json $(SITE_FILES)/unlock.txt deploy/sites/
	cp $(SYSTEM_SITE_FILES)/wire.json deploy/sites/system/

# the whole system on loopback: a core of three, two dispatchers, three agents with stand-in workers; under a minute
demo: build
	$(BIN)/python -m millethead demo

run: build
	$(BIN)/millethead serve

clean:
	rm -rf build $(VENV) .mypy_cache .pytest_cache .ruff_cache
