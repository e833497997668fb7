PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
FLEET ?= xela
SEED ?= 1

.PHONY: demo up test lint format bench slopes loc reference clean

$(VENV)/.ready: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m demo run --seed $(SEED)

up: $(VENV)/.ready
	$(BIN)/python -m demo up --fleet $(FLEET) --seed $(SEED)

test: $(VENV)/.ready
	$(BIN)/python -m pytest

lint: $(VENV)/.ready
	$(BIN)/ruff format --check src tests fakes demo bench
	$(BIN)/ruff check src tests fakes demo bench
	$(BIN)/flake8 src

format: $(VENV)/.ready
	$(BIN)/ruff check --fix src tests fakes demo bench
	$(BIN)/ruff format src tests fakes demo bench

bench: $(VENV)/.ready
	$(BIN)/python -m bench
	$(BIN)/python -m bench.plots
	$(BIN)/python -m bench.routed
	$(BIN)/python -m bench.speed
	$(BIN)/python -m bench.live

slopes: $(VENV)/.ready
	$(BIN)/python -m bench.slopes

loc: $(VENV)/.ready
	$(BIN)/python -m bench.loc

reference: $(VENV)/.ready
	$(BIN)/python -m bench.reference

clean:
	rm -rf $(VENV) .demo
