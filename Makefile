VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
NAME ?= replication
ARGS ?=
SECONDS ?= 60
SEED ?= 1
SEEDS ?= 1
PYTEST_ARGS ?= -n 4
UNTRUSTED_TESTS := banyantrack/tests/test_untrusted_callers.py
# The users' bench and the folder of its site files; both are not part of this
# repository.
FLEETBENCH ?= fleetbench
SITES ?= .
JOBS ?= 3
WHY ?= regression run
FULL_SITES := large/colx-banyan-large further/sava-madraci \
	further-grown/sava-madraci-grown shifted/colx-banyan-now-grown \
	demands/clausula-viva-grown demands/harthy-ledger-grown
QUICK_SITES := grown/colx-banyan-grown grown/tsagaan-uul-grown \
	sites/colx-banyan sites/tsagaan-uul

.PHONY: demo test lint format generate bench bench-platform soak soak-platform

$(STAMP): pyproject.toml constraints.txt
	python3.11 -m venv $(VENV) 2>/dev/null || python3 -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m banyantrack.testing.demo $(ARGS)

# Runs the tests of untrusted clients after the others, one at a time, since
# they check bounds of memory and descriptors.
test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_ARGS) --ignore=$(UNTRUSTED_TESTS)
	$(BIN)/python -m pytest -n 0 $(filter --deselect=%,$(PYTEST_ARGS)) \
		$(UNTRUSTED_TESTS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 banyantrack benchmarks tools

format: $(STAMP)
	$(BIN)/ruff format .

generate: $(STAMP)
	$(BIN)/python tools/generate.py

bench: $(STAMP)
	$(BIN)/python -m benchmarks.$(NAME) $(ARGS)

# Plays the standard days of the sites in force, and a few of earlier ones.
bench-platform:
	$(FLEETBENCH) score $(FULL_SITES:%=$(SITES)/%.toml) \
		--jobs $(JOBS) --why "$(WHY)"
	$(FLEETBENCH) score $(QUICK_SITES:%=$(SITES)/%.toml) \
		--quick --jobs $(JOBS) --why "$(WHY)"

soak: $(STAMP)
	$(BIN)/python -m banyantrack.testing.soak --seconds $(SECONDS) --seed $(SEED)

soak-platform: $(STAMP)
	$(BIN)/python -m banyantrack.testing.platform_soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)
