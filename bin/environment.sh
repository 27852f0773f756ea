# Make the environment that the other scripts run in, once for each set of pins.
# Sourced, not run: sets PYTHON. MALLOWPOND_VENV chooses another folder.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
venv="${MALLOWPOND_VENV:-$root/.venv}"
pins="$(cat "$root"/requirements/*.txt | cksum)"
if [ ! -x "$venv/bin/python" ] || [ "$(cat "$venv/pins" 2>/dev/null)" != "$pins" ]; then
    echo "Making the environment in $venv ..." >&2
    # Built aside and then renamed, as two scripts may begin at the same moment.
    mkdir -p "$(dirname "$venv")"
    aside="$(mktemp -d "$venv.XXXXXX")"
    python3 -m venv "$aside/new"
    "$aside/new/bin/python" -m pip install --quiet --disable-pip-version-check \
        --requirement "$root/requirements/test.txt" 2> "$aside/pip.log" ||
        { cat "$aside/pip.log" >&2; exit 1; }
    echo "$pins" > "$aside/new/pins"
    if [ "$(cat "$venv/pins" 2>/dev/null)" != "$pins" ]; then
        mv -T "$venv" "$aside/old" 2>/dev/null || true
        mv -T "$aside/new" "$venv" 2>/dev/null || true
    fi
    rm -rf "$aside"
fi
PYTHON="$venv/bin/python"
export PYTHONDONTWRITEBYTECODE=1
# Explorations with fixed seeds go through sets, whose order would differ by run.
export PYTHONHASHSEED=0
cd "$root"
