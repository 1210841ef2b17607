"""Tests of the virtual time in which other tests run."""

import gc
import itertools
import sys
import time
from collections.abc import Callable, Iterator
from types import FunctionType, ModuleType

import pytest
from virtual_time import virtual_time

import kumquatway_gateway  # noqa: F401

LATE_MODULE = """
import functools
import time

def keyword(*, clock=time.monotonic): return clock

def positional(clock=time.monotonic): return clock

@functools.lru_cache
def wrapped(*, clock=time.monotonic): return clock

class Owner:
    def method(self, *, clock=time.monotonic): return clock

    @classmethod
    def build(cls, *, clock=time.monotonic): return clock

    @staticmethod
    def read(*, clock=time.monotonic): return clock
"""


@pytest.fixture
def import_late(monkeypatch) -> Iterator[Callable[[], ModuleType]]:
    """Return a function that imports a module of the project for the first time."""

    def import_late() -> ModuleType:
        module = ModuleType("kumquatway_imported_late")
        monkeypatch.setitem(sys.modules, module.__name__, module)
        exec(LATE_MODULE, vars(module))
        return module

    return import_late


def _clocks(module: ModuleType) -> list[Callable[[], float]]:
    owner = module.Owner()
    functions = [module.keyword, module.positional, module.wrapped]
    return [call() for call in [*functions, owner.method, owner.build, owner.read]]


def _functions_with(clocks: list[Callable]) -> list[str]:
    """Name the functions of the project that have one of some clocks by default."""
    functions = (one for one in gc.get_objects() if isinstance(one, FunctionType))
    return [
        f"{function.__module__}.{function.__qualname__}"
        for function in functions
        if str(function.__module__).startswith("kumquatway")
        and str(function.__module__) in sys.modules
        for value in [
            *(function.__defaults__ or ()),
            *(function.__kwdefaults__ or {}).values(),
        ]
        if callable(value) and value in clocks
    ]


class TestReplacedClocks:
    """A wait by the machine's clock never ends while virtual time passes."""

    def test_no_function_keeps_the_clock_of_the_machine(self):
        clocks = [time.monotonic, time.time]
        assert _functions_with(clocks) != []
        with virtual_time():
            assert _functions_with(clocks) == []

    def test_all_kinds_of_functions_get_it(self, import_late):
        module = import_late()
        with virtual_time() as clock:
            module.wrapped.cache_clear()
            assert _clocks(module) == [clock.monotonic] * 6

    def test_they_get_the_clock_of_the_machine_back(self, import_late):
        module = import_late()
        with virtual_time():
            pass
        assert _clocks(module) == [time.monotonic] * 6

    def test_what_is_imported_meanwhile_gets_it_too(self, import_late):
        with virtual_time() as clock:
            module = import_late()
            assert _clocks(module) == [clock.monotonic] * 6
            module.wrapped.cache_clear()
        assert _clocks(module) == [time.monotonic] * 6


class TestStart:
    """Virtual time did not begin, as the list of modules changed while it was read."""

    def test_begins_while_finalizers_import_modules(self, monkeypatch):
        numbers = itertools.count()

        def import_module(phase: str, info: dict) -> None:
            name = f"imported_by_a_finalizer_{next(numbers)}"
            monkeypatch.setitem(sys.modules, name, ModuleType(name))

        thresholds = gc.get_threshold()
        gc.callbacks.append(import_module)
        try:
            gc.set_threshold(1)
            with virtual_time():
                pass
        finally:
            gc.set_threshold(*thresholds)
            gc.callbacks.remove(import_module)
        assert next(numbers) > 0
