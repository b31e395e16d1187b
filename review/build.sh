#!/usr/bin/env bash
# Builds the stand-ins of the review. They need Python 3.11's standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins ./[0-9]*
