# Every target makes the environment first, so that a fresh clone needs one command.
PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: env demo test lint format types docs review bench clean

env: $(STAMP)

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: env
	$(VENV)/bin/mangospoke demo

test: env
	.ci/test

docs: env
	$(VENV)/bin/mangospoke reference

lint: env
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: env
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

types: env
	$(VENV)/bin/mypy

clean:
	rm -rf $(VENV)

# Runs all cases of the independent review, also after one has failed.
review: env
	$(VENV)/bin/pip install --quiet --upgrade --target target/deps --requirement deploy/requirements.txt
	review/build.sh
	@failed=; \
	for script in review/*/run.sh; do \
		echo "== $$script"; \
		$$script || failed="$$failed $$script"; \
	done; \
	if [ -n "$$failed" ]; then echo "failed:$$failed"; exit 1; fi; \
	echo "all cases of the review held"
