"""Run the command line with ``python -m mallowpond``."""

from mallowpond.programs.cli import main

if __name__ == "__main__":
    main()
