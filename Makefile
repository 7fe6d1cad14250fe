# What a developer does here; everything runs in the repository's own .venv.
PYTHON = .venv/bin/python

.PHONY: build demo demo-post test lint run regression clean wire

# the environment is made anew for another kind of processor or another Python
BUILT_FOR := $(shell python3 -c 'import sys, sysconfig; print(sysconfig.get_platform(), sys.implementation.cache_tag, sep="-")')
STAMP = .venv/done-$(BUILT_FOR)

build: $(STAMP)

$(STAMP): requirements.txt requirements-lab.txt requirements-processor.txt requirements-post.txt requirements-dev.txt
	test -e $@ || rm -rf .venv
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-lab.txt -r requirements-processor.txt -r requirements-post.txt -r requirements-dev.txt
	$(PYTHON) -m compileall -q opalwick
	touch $@

# a small day in front of real schedulers, with a worker that crashes
demo: build
	$(PYTHON) -m opalwick lab run demo --clock sockets --out found/demo
	$(PYTHON) -m opalwick lab report found/demo

# a small system of the post on this machine: a worker crashes, a store is killed; the page is found/demo-post/demo-1/seen.md
demo-post: build
	$(PYTHON) -m opalwick lab post demo --clock sockets --out found/demo-post

test: build
	$(PYTHON) -m pytest -q -n 4

lint: build
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

# the messages between processes, from their definition
wire: build
	cd opalwick/post && ../../$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. wire.proto

# CONFIGURATION=file, or BALANCER_CONFIG in the environment
run: build
	$(PYTHON) -m opalwick serve $(CONFIGURATION)

clean:
	rm -rf .venv .ci-venv .pytest_cache .mypy_cache .ruff_cache

# KIT=place of the operators' kit, WHY="one sentence": the operators' days, the earlier ones and the whole fleet's in turn, then the simulator's deployments
LBREAL = $(KIT)/more/ops/bin/lbreal
LBSIM = $(KIT)/more/move/bin/lbsim
SITES = $(KIT)/more/move/sites
LBMASS = $(KIT)/more/mass/bin/lbreal
WHY = Regression over the operators' days, the earlier days and the simulator's deployments

regression: build
	@test -n "$(KIT)" -a -x "$(LBREAL)" -a -x "$(LBSIM)" || \
	  { echo "regression: KIT='$(KIT)' holds no bench of the operators; call it as make regression KIT=PLACE" >&2; exit 2; }
	$(LBREAL) score $(KIT)/sites/ghor-bookings.toml --quick --why "$(WHY)"
	$(LBREAL) score $(KIT)/sites/ghor-bookings.toml --panel later --quick --why "$(WHY)"
	$(LBMASS) score $(KIT)/sites/ghor-bookings.toml --quick --why "$(WHY)"
	$(LBSIM) score $(SITES)/bxl-channel-sync.toml $(SITES)/etkezde-bp.toml $(SITES)/ghor-bookings.toml \
	  $(SITES)/ghor-bookings-later.toml --quick --why "$(WHY)"
	$(KIT)/bin/lbsim score $(KIT)/more/quito-lending.toml $(KIT)/more/mill-orders-nam.toml --quick --why "$(WHY)"
