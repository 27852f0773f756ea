"""Run the command line, or a node without importing the command line."""

import gc
import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["node"]:
        # What the imports create stays for good. `program.main` enables collection.
        gc.disable()
        from mallowpond.platform.early_listener import listen_for_callers

        listener = listen_for_callers()
        from mallowpond.platform.method_cache import saved_methods

        # Without the imports of the command line a restarted node starts faster and
        # uses less memory.
        with saved_methods():
            from mallowpond.platform.program import main

        main(listener)
    else:
        from mallowpond.programs.cli import main as run_command_line

        run_command_line()
