VENV ?= .venv
PYTHON := $(VENV)/bin/python
SOURCES := clementinebank platform standins tests benchmarks examples
export PYTHONPATH := $(CURDIR)

.PHONY: test lint types unit run faults soak gateway-soak format clean

$(VENV)/.installed: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements-dev.txt
	touch $@

test: lint types unit

lint: $(VENV)/.installed
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m ruff check $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

types: $(VENV)/.installed
	$(PYTHON) -m mypy clementinebank standins
	MYPYPATH=platform:. $(PYTHON) -m mypy platform/fleet_adapter

unit: $(VENV)/.installed
	$(PYTHON) -m pytest

faults: $(VENV)/.installed
	$(PYTHON) -m tests.faults $(PATHS)

SEED ?= 1
SECONDS ?= 60
DEPLOYMENT ?= kumagawa

soak: $(VENV)/.installed
	$(PYTHON) -m tests.soak --seed $(SEED) --seconds $(SECONDS) \
	  --deployment $(DEPLOYMENT)

gateway-soak: $(VENV)/.installed
	PYTHONPATH=$(CURDIR):$(CURDIR)/platform $(PYTHON) -m tests.soak.gateways \
	  --seed $(SEED) --seconds $(SECONDS) --deployment $(DEPLOYMENT)

run: $(VENV)/.installed
	sh examples/run.sh $(PYTHON)

format: $(VENV)/.installed
	$(PYTHON) -m ruff format $(SOURCES)
	$(PYTHON) -m ruff check --fix $(SOURCES)

clean:
	rm -rf build dist .mypy_cache .pytest_cache .ruff_cache .hypothesis
