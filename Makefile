.PHONY: setup format test unit demo bench capacity playground lab soak
EXPERIMENT ?= examples/experiments/zone_lost.json5
SEEDS ?= 50
PYTHON ?= python3
BIN := .venv/bin

setup: .venv/.installed

.venv/.installed: constraints.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r constraints.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/core -e packages/daemon -e packages/cli -e packages/dev -e platform
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python scripts/run_tests.py

unit: setup
	$(BIN)/python scripts/run_tests.py

demo: setup
	$(BIN)/python -m cardamomquay_dev.demo

bench: setup
	$(BIN)/python -m cardamomquay_dev.bench


capacity: setup
	$(BIN)/python -m cardamomquay_dev.capacity

playground: setup
	$(BIN)/python -m cardamomquay_dev.playground

lab: setup
	$(BIN)/python -m cardamomquay_dev.lab $(EXPERIMENT)

soak: setup
	cd platform/tests && ../../$(BIN)/python -m soak --seeds $(SEEDS)
