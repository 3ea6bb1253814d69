"""Test functions with shared fixtures, run by unittest."""

import asyncio
import contextlib
import importlib
import inspect
import unittest
from collections.abc import Callable, Iterator
from typing import Any

__all__ = ["fixture", "function_tests"]

FIXTURES: dict[str, Callable[..., Any]] = {}


def fixture(function: Callable[..., Any]) -> Callable[..., Any]:
    """
    Register a fixture under the name of its function.

    A fixture may take other fixtures as parameters; a generator's code after
    ``yield`` runs when the test has ended.

    :param function: makes the value, or yields it once
    :return: the function itself
    :raises ValueError: when another module has a fixture of the same name
    """
    known = FIXTURES.get(function.__name__)
    if known is not None and known.__module__ != function.__module__:
        raise ValueError(
            f"fixture {function.__name__} is defined in {known.__module__} and in "
            f"{function.__module__}"
        )
    FIXTURES[function.__name__] = function
    return function


def make_fixture(name: str, stack: contextlib.ExitStack, made: dict[str, Any]) -> Any:
    """
    Make a fixture and those it needs, each once per test.

    :param name: name of the fixture
    :param stack: closes the fixtures
    :param made: fixtures made so far in this test
    :return: the value
    """
    if name not in made:
        function = FIXTURES[name]
        value = function(**make_arguments(function, stack, made))
        if inspect.isgenerator(value):
            value = stack.enter_context(contextlib.contextmanager(lambda: value)())
        made[name] = value
    return made[name]


def make_arguments(
    function: Callable[..., Any], stack: contextlib.ExitStack, made: dict[str, Any]
) -> dict[str, Any]:
    """
    Make the fixtures that a function takes as parameters.

    :param function: a test or a fixture
    :param stack: closes the fixtures
    :param made: fixtures made so far in this test
    :return: arguments by name
    """
    return {
        name: make_fixture(name, stack, made)
        for name, parameter in inspect.signature(function).parameters.items()
        if parameter.default is parameter.empty
    }


def run_test(function: Callable[..., Any]) -> None:
    """
    Run one test with its fixtures; a coroutine runs in an event loop of its own.

    :param function: the test
    """
    with contextlib.ExitStack() as stack:
        result = function(**make_arguments(function, stack, {}))
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
