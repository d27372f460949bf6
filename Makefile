PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := wire release replication distribution tenants quota admission placement \
	rollout calls daemon cli
MEMBERS := $(PACKAGES:%=packages/%) platform
SEED ?= 1
MINUTES ?= 1

.PHONY: setup demo test lint types bench soak wire clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt $(MEMBERS:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --require-hashes -r requirements.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation \
		$(MEMBERS:%=-e %)
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy $(MEMBERS:%=%/src)

# Passes over the tests in KNOWN-RED.txt, as CI does.
test:
	bash .ci/run

demo: setup
	$(BIN)/python tools/demo.py

bench: setup
	$(BIN)/python -m bench

soak: setup
	$(BIN)/python tools/soak.py --seed $(SEED) --minutes $(MINUTES)

# Regenerates the committed Thrift code; needs thrift-compiler 0.17.
wire:
	thrift --gen py:slots -out packages/wire/src/rhubarbhollow_wire/gen_py \
		packages/wire/src/rhubarbhollow_wire/rhubarbhollow.thrift

clean:
	rm -rf $(VENV) .demo
