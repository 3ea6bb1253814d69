"""Test functions with shared fixtures, run by unittest."""

import asyncio
import contextlib
import importlib
import inspect
import unittest
from collections.abc import Callable, Iterator
from typing import Any

__all__ = ["fixture", "function_tests"]

FIXTURES: dict[str, dict[str, Callable[..., Any]]] = {}


def fixture(function: Callable[..., Any]) -> Callable[..., Any]:
    """
    Register a fixture under the name of its function.

    A fixture may take other fixtures as parameters; a generator's code after
    ``yield`` runs when the test has ended. A test module's own fixtures go
    before shared ones of the same name, and no other test module sees them.

    :param function: makes the value, or yields it once
    :return: the function itself
    """
    FIXTURES.setdefault(function.__module__, {})[function.__name__] = function
    return function


def find_fixture(name: str, module: str) -> Callable[..., Any]:
    """
    Find a fixture.

    :param name: name of the fixture
    :param module: module of the test
    :return: the fixture of the module, else the shared one
    :raises LookupError: when there is none
    """
    module_fixtures = FIXTURES.get(module, {})
    if name in module_fixtures:
        return module_fixtures[name]
    for fixture_module, fixtures in FIXTURES.items():
        is_shared = not fixture_module.rpartition(".")[2].startswith("test_")
        if is_shared and name in fixtures:
            return fixtures[name]
    raise LookupError(f"no fixture {name} for {module}")


class FixtureResolver:
    """
    Makes the fixtures of one test, each once.

    :param module: module of the test
    :param stack: closes the fixtures
    """

    def __init__(self, *, module: str, stack: contextlib.ExitStack) -> None:
        self._module = module
        self._stack = stack
        self._values: dict[str, Any] = {}

    def resolve(self, name: str) -> Any:
        """
        Make a fixture and those it needs.

        :param name: name of the fixture
        :return: the value
        """
        if name not in self._values:
            function = find_fixture(name, self._module)
            value = function(**self.resolve_arguments(function))
            if inspect.isgenerator(value):
                manager = contextlib.contextmanager(lambda: value)()
                value = self._stack.enter_context(manager)
            self._values[name] = value
        return self._values[name]

    def resolve_arguments(self, function: Callable[..., Any]) -> dict[str, Any]:
        """
        Make the fixtures that a function takes as parameters.

        :param function: a test or a fixture
        :return: arguments by name
        """
        parameters = inspect.signature(function).parameters
        return {
            name: self.resolve(name)
            for name, parameter in parameters.items()
            if parameter.default is parameter.empty
        }


def run_test(function: Callable[..., Any]) -> None:
    """
    Run one test with its fixtures; a coroutine runs in an event loop of its own.

    :param function: the test
    """
    with contextlib.ExitStack() as stack:
        resolver = FixtureResolver(module=function.__module__, stack=stack)
        result = function(**resolver.resolve_arguments(function))
        if inspect.iscoroutine(result):
            asyncio.run(result)


def iterate_tests(module: str) -> Iterator[unittest.TestCase]:
    """
    Make a test case for each ``test_*`` function of a module.

    :param module: name of the module
    :return: test cases in the order of definition
    """
    for name, function in vars(importlib.import_module(module)).items():
        if name.startswith("test_") and inspect.isfunction(function):
            case = unittest.FunctionTestCase(
                lambda function=function: run_test(function),
                description=f"{module}.{name}",
            )
            yield case


def function_tests(module: str) -> Callable[..., unittest.TestSuite]:
    """
    Make the ``load_tests`` hook of a module of test functions.

    :param module: ``__name__`` of the module
    :return: the hook
    """

    def load_tests(
        loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str | None
    ) -> unittest.TestSuite:
        return unittest.TestSuite(iterate_tests(module))

    return load_tests
