"""Run the command line, or a node without the command line's imports."""

import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["node"]:
        # A killed node is back sooner and smaller without the command line.
        from mallowpond.platform.program import main
    else:
        from mallowpond.programs.cli import main

    main()
