VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := core agent entry gateway fakes
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform

.PHONY: demo test lint format bench setup clean

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt wheel setuptools hatchling editables
	$(PY) -m pip install -q --no-build-isolation -c constraints.txt -r requirements-dev.txt $(EDITABLE)
	touch $@

demo: setup
	$(VENV)/bin/kumquatway demo

test: setup
	$(PY) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

format: setup
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

bench: setup
	$(PY) -m benchmarks

clean:
	rm -rf $(VENV)
