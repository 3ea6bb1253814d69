"""Support for test functions with fixtures, run by unittest."""

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

    A fixture may take other fixtures as parameters. If the function is a generator,
    the code after ``yield`` runs when the test has ended. Fixtures of a test module
    take precedence over shared fixtures of the same name and are not available to
    other test modules.

    :param function: function that returns the value, or yields it once
    :return: the unchanged function
    """
    FIXTURES.setdefault(function.__module__, {})[function.__name__] = function
    return function


def find_fixture(name: str, module: str) -> Callable[..., Any]:
    """
    Look up a fixture.

    :param name: name of the fixture
    :param module: module of the test
    :return: the fixture of the module if there is one, otherwise the shared one
    :raises LookupError: when no fixture has this name
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
    Creates the fixtures of one test, each of them once.

    :param module: module of the test
    :param stack: stack that ends generator fixtures when it is closed
    """

    def __init__(self, *, module: str, stack: contextlib.ExitStack) -> None:
        self._module = module
        self._stack = stack
        self._values: dict[str, Any] = {}

    def resolve(self, name: str) -> Any:
        """
        Return a fixture; create it and the fixtures it depends on if necessary.

        :param name: name of the fixture
        :return: the value of the fixture
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
        Resolve the fixtures that a function takes as parameters.

        :param function: a test or a fixture
        :return: values of the fixtures by parameter name
        """
        parameters = inspect.signature(function).parameters
        return {
            name: self.resolve(name)
            for name, parameter in parameters.items()
            if parameter.default is parameter.empty
        }


def run_test(function: Callable[..., Any]) -> None:
    """
    Run one test with its fixtures; a coroutine runs in a new event loop.

    :param function: the test function
    """
    with contextlib.ExitStack() as stack:
        resolver = FixtureResolver(module=function.__module__, stack=stack)
        result = function(**resolver.resolve_arguments(function))
        if inspect.iscoroutine(result):
            asyncio.run(result)


def iterate_tests(module: str) -> Iterator[unittest.TestCase]:
    """
    Create a test case for each ``test_*`` function of a module.

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
    Create the ``load_tests`` hook of a module of test functions.

    :param module: ``__name__`` of the module
    :return: the hook, which unittest calls when it loads the module
    """

    def load_tests(
        loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str | None
    ) -> unittest.TestSuite:
        return unittest.TestSuite(iterate_tests(module))

    return load_tests
