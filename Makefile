# Every target sets up its own virtual environment first; nothing else needs to be installed.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test lint format demo bench reference capacity soak clean

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

test: setup
	$(BIN)/python -m features.run

lint: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m cloverhook_emulator.demo

bench: setup
	$(BIN)/python -m bench.run

reference: setup
	$(BIN)/python -m bench.reference

capacity: setup
	$(BIN)/python -m bench.capacity

soak: setup
	$(BIN)/python -m features.soak

clean:
	rm -rf $(VENV) build *.egg-info
