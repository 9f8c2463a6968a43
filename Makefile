VENV := .venv
PY := $(VENV)/bin/python
SRC := packages/core/src:packages/daemon/src:packages/ctl/src:packages/fakes/src:platform/src
export PYTHONPATH := $(SRC)
PACKAGES := packages/core packages/daemon packages/ctl packages/fakes platform
TOOLS := pytest ruff hypothesis grpcio-tools openai cryptography rope mypy

.PHONY: setup test lint format demo demo-up bench check-log scenarios scenarios-short \
  soak soak-short proto

setup: $(VENV)/ready

$(VENV)/ready: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt $(TOOLS) $(addprefix -e ./,$(PACKAGES))
	touch $@

test: setup
	$(PY) -m pytest

lint: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

format: setup
	$(PY) -m ruff check --fix-only -q .
	$(PY) -m ruff format .

demo: setup
	$(PY) -m bergamotwood_fakes.demo $(if $(TEXT),--text $(TEXT))

demo-up: setup
	$(PY) -m bergamotwood_fakes.demo --stay

bench: setup
	$(PY) -m benchmarks

proto: setup
	$(PY) -m grpc_tools.protoc -I proto --python_out=packages/daemon/src \
	  --grpc_python_out=packages/daemon/src \
	  proto/bergamotwood_daemon/peer.proto

check-log: setup
	PYTHONPATH=$(SRC):tests $(PY) -m core.logcheck

SHORT := smoke keys_raced tickets_raced
RUN := $(PY) -m bergamotwood_fakes.scenario

scenarios: setup
	$(RUN) $(if $(PAIRS),--pairs) --json out/scenarios.json scenarios/*.yaml

scenarios-short: setup
	$(RUN) --json out/scenarios-short.json $(SHORT:%=scenarios/%.yaml)

SOAK := $(PY) -m bergamotwood_soak
SEEDS := 5
FIRST := $(shell date +%s)
# Seeds that failed once, and one with rare faults. docs/SOAK.md has a line on each.
SOAK_CASES := 1 213 41

soak: setup
	$(SOAK) --first $(FIRST) --seeds $(SEEDS)

soak-short: setup
	$(foreach seed,$(SOAK_CASES),$(SOAK) --first $(seed) --seconds 8 &&) true
