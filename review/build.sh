#!/usr/bin/env bash
# Checks that the scripts and the stand-ins that they start can be loaded. They are
# Python: nothing is compiled. Needs the build of the deploy file (target/deps).
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review
python3 -B -c 'import harness, standins.cell, standins.proxy, tools.launch'
