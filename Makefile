PYTHON ?= python3

VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.stamp
PACKAGES := $(sort $(wildcard packages/*)) platform
SOURCES := packages platform deploy tests
PROJECTS := $(addsuffix /pyproject.toml,$(PACKAGES))

# `make demo KEEP=1` leaves the demo's processes running.
DEMO_FLAGS := $(if $(filter 1,$(KEEP)),--keep)

# Tests that run at once: two for each three cores leave room for the processes that they start.
WORKERS ?= $(shell expr \( $$(nproc) \* 2 + 2 \) / 3)

.DEFAULT_GOAL := test

# `test` relies on the order of its prerequisites: pytest's summary must be the last line of output.
.NOTPARALLEL:

.PHONY: venv remove-venv fmt lint types unit test demo bench-overhead measure measure-control soak clean

venv: $(STAMP)

# Extension modules that the interpreter in .venv cannot load, as in a folder that was carried over
# from another architecture; all of them if that interpreter does not start.
VENV_ABI := $(shell $(BIN)/python -S -c \
	'import sysconfig; print(sysconfig.get_config_var("SOABI"))' 2>/dev/null)
FOREIGN := $(shell find $(VENV) -name '*.cpython-*.so' ! -name '*.$(VENV_ABI).so' -print -quit \
	2>/dev/null)

# All packages go in with one pip call, so that their pins on each other are met by the work tree.
$(STAMP): pyproject.toml requirements-dev.txt $(PROJECTS) $(if $(FOREIGN),remove-venv)
	$(BIN)/python -m pip --version >/dev/null 2>&1 || $(PYTHON) -m venv --clear $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt $(addprefix -e ./,$(PACKAGES))
	touch $@

fmt: $(STAMP)
	$(BIN)/ruff check --fix-only $(SOURCES)
	$(BIN)/black $(SOURCES)

lint: $(STAMP)
	$(BIN)/black --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/lint-imports --no-cache

types: $(STAMP)
	$(BIN)/mypy

# Most tests wait for real processes, so several run at once; ports are taken by blocks, one process
# each (`port_blocks`), so that they cannot meet. Compiled once, since each process would compile all
# modules again where PYTHONDONTWRITEBYTECODE is set.
unit: $(STAMP)
	$(BIN)/python -m compileall -q packages platform
	$(BIN)/pytest -n $(WORKERS) --dist worksteal tests

test: lint types unit

demo: $(STAMP)
	$(BIN)/python -m turmericweir_standins.demo $(DEMO_FLAGS)

bench-overhead: $(STAMP)
	$(BIN)/python -m turmericweir_standins.bench_overhead

measure: $(STAMP)
	$(BIN)/python -m turmericweir_standins.measure

measure-control: $(STAMP)
	$(BIN)/python -m turmericweir_standins.measure_control

soak: $(STAMP)
	$(BIN)/python -m turmericweir_standins.soak

remove-venv:
	rm -rf $(VENV)

clean:
	rm -rf $(VENV) build .pytest_cache .mypy_cache .ruff_cache .hypothesis
	rm -rf $(addsuffix /build,$(PACKAGES)) $(addsuffix /*.egg-info,$(PACKAGES))
	find packages tests -name __pycache__ -type d -prune -exec rm -rf {} +
