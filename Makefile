# Developer commands. Run `make help` for the list.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: help install demo test format lint docs generate soak platform-soak capacity

help:
	@echo "make demo      install, then run the product with stand-ins and check the result"
	@echo "make test      install, then run format check, lint, docs checks and all features"
	@echo "make format    format the source"
	@echo "make lint      run the linters"
	@echo "make docs      rewrite the generated docs pages"
	@echo "make generate  regenerate the thrift code (needs the thrift compiler)"
	@echo "make capacity  measure messages, memory, decisions and idle cells"
	@echo "make platform-soak  run gateways and turn stores under faults: SEED, COUNT, SECONDS_EACH"
	@echo "make soak      run the randomised features with SEED and ROUNDS"

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: install
	$(BIN)/python -m rattanvalve.demo

test: install
	$(BIN)/python -m tests.run_checks

format: install
	$(BIN)/ruff format rattanvalve tests
	$(BIN)/ruff check --fix-only --quiet rattanvalve tests

lint: install
	$(BIN)/ruff format --check rattanvalve tests
	$(BIN)/ruff check rattanvalve tests
	$(BIN)/flake8 rattanvalve tests

docs: install
	$(BIN)/python -m rattanvalve.docpages --write

generate:
	mkdir -p build
	thrift --gen py -out build rattanvalve.thrift
	cp build/rattanvalve/ttypes.py rattanvalve/wire_gen/ttypes.py
	sha256sum rattanvalve.thrift | cut -d' ' -f1 > rattanvalve/wire_gen/SOURCE_SHA256

SEED ?= 1
ROUNDS ?= 2000
soak: install
	SOAK_SEED=$(SEED) SOAK_ROUNDS=$(ROUNDS) $(BIN)/behave --no-capture --tags=randomised tests

SECONDS_EACH ?= 20
COUNT ?= 1
platform-soak: install
	$(BIN)/python -m tests.platform_soak.main --seed $(SEED) --count $(COUNT) --seconds $(SECONDS_EACH)

capacity: install
	$(BIN)/python -m rattanvalve.load_main capacity
