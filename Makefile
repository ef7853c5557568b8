VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin
DEPLOYMENT ?= both
SCENARIO ?= trouble
JOBS ?= 4
STAMP = $(VENV)/.installed

.PHONY: install test crowd lint format demo emulate bench soak binary docs

install: $(STAMP)

$(STAMP): requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest -n $(JOBS)

crowd: $(STAMP)
	$(BIN)/python -m pytest -m crowd -p no:xdist

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(STAMP)
	$(BIN)/python -m demo --deployment $(DEPLOYMENT) $(if $(TRACE),--trace)

emulate: $(STAMP)
	$(BIN)/python -m demo.emulate examples/scenarios/$(SCENARIO).json --report build/$(SCENARIO).html

bench: $(STAMP)
	$(BIN)/python -m bench

soak: $(STAMP)
	$(BIN)/python -m pytest -m soak -n $(JOBS)

binary: $(STAMP)
	$(BIN)/python tools/build_binary.py
	$(BIN)/python -m pytest -m binary

docs: $(STAMP)
	$(BIN)/mkdocs build --strict

reference: $(STAMP)
	$(BIN)/python -m tools.settings_page
	$(BIN)/python -m tools.codes_page
	$(BIN)/python -m tools.events_page
