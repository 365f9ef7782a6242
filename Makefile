# What CI runs is `make test`; `make build` is what deploy/balancer.toml does.
.PHONY: build test lint run play-sites
JOBS ?= 4  # test processes side by side; many run directors of their own, with times to keep
PY = .ci-venv/bin/python

build:
	test -d .venv || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt)

.ci-venv/ready: requirements.txt requirements-dev.txt
	test -d .ci-venv || python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install -r requirements-dev.txt
	touch $@

lint: .ci-venv/ready
	$(PY) -m ruff format --check gladewalk tests benchmarks
	$(PY) -m ruff check gladewalk tests benchmarks
	.ci-venv/bin/lint-imports --no-cache
	$(PY) -m mypy

test: lint
	$(PY) -m benchmarks.soak --quick
	$(PY) -m pytest -q -n $(JOBS) --dist worksteal

run: build
	exec .venv/bin/python -m gladewalk

# The variants of our own on the fleet's bench. What has to be the same as there is laid beside them for the play
# alone: the names on the wires and the kinds of trouble that may be drawn.
GIVEN ?= ../given/kit
PANEL ?= --quick
play-sites: build
	cp $(GIVEN)/sites/real.json $(GIVEN)/sites/wire.json $(GIVEN)/sites/unlock.txt deploy/sites/
	for site in clinic-archive night-library; do \
	  $(GIVEN)/more/mass/bin/lbreal score deploy/sites/$$site.toml $(PANEL) --why "$${WHY:-The variant $$site}" || exit; \
	done
