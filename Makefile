# Requires GNU make and CPython 3.11; everything else is installed into .venv.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
LIBRARIES := core lists routing placement admission limits requests membership configuration \
	wire telemetry settings runtime cli standins flows catalog forwarding
EDITABLE := $(foreach name,$(LIBRARIES),-e libs/$(name)) -e platform
SOURCES := conftest.py libs platform scenarios packaging
PROTO := libs/wire/src/laburnumbridge/wire/control.proto

.PHONY: setup format lint test bench capacity demo proto dist soak clean

setup: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation -c constraints.txt $(EDITABLE)
	touch $@

format: setup
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --fix --quiet $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

lint: setup
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy $(foreach name,$(LIBRARIES),-p laburnumbridge.$(name)) -p laburnumbridge.adapter
	$(BIN)/lint-imports

test: setup
	$(BIN)/python -m pytest -c platform/pyproject.toml --rootdir platform --confcutdir . platform/tests
	$(BIN)/python -m pytest

bench: setup
	mkdir -p build
	$(BIN)/laburnumbridge bench --output build/bench.json

demo: setup
	$(BIN)/python -m laburnumbridge.standins.demo

capacity: setup
	$(BIN)/python -m laburnumbridge.standins.capacity_page build/bench.json docs/CAPACITY.md

soak: setup
	mkdir -p build
	$(BIN)/python -m laburnumbridge.standins.flows.fault_soak build/fault-soak.json
	$(BIN)/python -m laburnumbridge.standins.soak build/soak.json

clean:
	rm -rf build dist $(VENV)

proto:
	$(BIN)/python -m grpc_tools.protoc -I libs/wire/src --python_out=libs/wire/src \
		--pyi_out=libs/wire/src --grpc_python_out=libs/wire/src $(PROTO)

dist: setup
	$(BIN)/python packaging/build_distribution.py dist/laburnumbridge
