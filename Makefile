# The project's commands. `make demo` and `make test` need only python3.
VENV := .venv
BIN := $(VENV)/bin
SOURCES := mustardwood spec
# Processes that run the tests; each runs whole files, in their order.
TEST_PROCESSES ?= 3

.PHONY: demo test format lint types check-model measure measure-path measure-streams measure-capacity clean soak

$(VENV)/.ready: pyproject.toml requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m mustardwood.demo

lint: $(VENV)/.ready
	$(BIN)/yapf --parallel --recursive --diff $(SOURCES)
	$(BIN)/pylint $(SOURCES)

types: $(VENV)/.ready
	$(BIN)/mypy mustardwood

check-model: $(VENV)/.ready
	$(BIN)/python -m spec

test: $(VENV)/.ready
	$(MAKE) --jobs=3 --output-sync lint types check-model
	$(BIN)/python -m pytest --numprocesses $(TEST_PROCESSES) \
	  --dist loadfile --no-loadscope-reorder

format: $(VENV)/.ready
	$(BIN)/yapf --parallel --recursive --in-place $(SOURCES)

measure: $(VENV)/.ready
	$(BIN)/python -m mustardwood.benchmarks --folder build/measure

measure-path: $(VENV)/.ready
	$(BIN)/python -m mustardwood.benchmarks.path

measure-streams: $(VENV)/.ready
	$(BIN)/python -m mustardwood.benchmarks.streams

measure-capacity: $(VENV)/.ready
	$(BIN)/python -m mustardwood.benchmarks.capacity

clean:
	rm -rf $(VENV) build *.egg-info

# Randomized runs of real VMs; the first seed and the options may be given:
#   make soak SEEDS=50 FIRST=1 OPTIONS="--signals"
SEEDS ?= 5
FIRST ?= 1
soak: $(VENV)/.ready
	$(BIN)/python -m mustardwood.platform.tests.soak --seeds $(SEEDS) --first $(FIRST) $(OPTIONS)
