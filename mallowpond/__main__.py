"""Run the command line, or a node without the command line's imports."""

import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["node"]:
        from mallowpond.platform.early_listener import listen_for_callers

        listener = listen_for_callers()
        # A killed node is back sooner and smaller without the command line.
        from mallowpond.platform.program import main

        main(listener)
    else:
        from mallowpond.programs.cli import main as run_command_line

        run_command_line()
