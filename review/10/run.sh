#!/usr/bin/env bash
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/.venv/bin/python" ] || exit 2
cd "$root" && PYTHONPATH="$root" PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 115 .venv/bin/python "$here/play.py"
