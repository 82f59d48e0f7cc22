#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/8 start beside the project's programs:
# their stand-ins are Python and need no library, so they are only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/cell2 review/6 review/7 review/8
