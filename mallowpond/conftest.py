"""Run coroutine tests, each on a loop of its own."""

import asyncio
import inspect


def pytest_pyfunc_call(pyfuncitem):
    """Run a test that is a coroutine function to its end."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(pyfuncitem.obj(**arguments))
    return True
