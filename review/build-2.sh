#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the programs: their own stand-ins and the project's. Run it after the
# `build` command of deploy/balancer.toml, with or without a network.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root"
.venv/bin/python -m compileall -q --invalidation-mode checked-hash lemonlead/standins review/rig2.py
for case in 6 7 8 9 10; do
  if [ -d "review/$case" ]; then
    .venv/bin/python -m compileall -q --invalidation-mode checked-hash "review/$case"
  fi
done
