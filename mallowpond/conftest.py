"""Run tests that are coroutine functions, each on an event loop of its own."""

import asyncio
import inspect


def pytest_pyfunc_call(pyfuncitem):
    """Run a coroutine test; leave other tests to pytest."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(pyfuncitem.obj(**arguments))
    return True
