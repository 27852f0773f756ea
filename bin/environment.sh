# Make the environment that the other scripts run in, once for each set of pins.
# Sourced, not run: sets PYTHON. MALLOWPOND_VENV chooses another folder.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
venv="${MALLOWPOND_VENV:-$root/.venv}"
pins="$(cat "$root"/requirements/*.txt | cksum)"
if [ ! -x "$venv/bin/python" ] || [ "$(cat "$venv/pins" 2>/dev/null)" != "$pins" ]; then
    echo "Making the environment in $venv ..." >&2
    python3 -m venv --clear "$venv"
    "$venv/bin/python" -m pip install --quiet --disable-pip-version-check \
        --requirement "$root/requirements/test.txt" 2> "$venv/pip.log" ||
        { cat "$venv/pip.log" >&2; exit 1; }
    echo "$pins" > "$venv/pins"
fi
PYTHON="$venv/bin/python"
export PYTHONDONTWRITEBYTECODE=1
# Explorations with fixed seeds go through sets, whose order would differ by run.
export PYTHONHASHSEED=0
cd "$root"
