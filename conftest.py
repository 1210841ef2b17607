"""Marks the tests that KNOWN-RED.txt lists as expected to fail."""

from collections.abc import Iterable
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")


def listed_tests(text: str) -> tuple[str, ...]:
    """
    Return the ids of tests that a list of known failures names.

    :param text: entries of fields, whose `test:` holds ids or says that there is none;
        further lines of a field are indented.
    :return: ends of node ids, such as `test_x.py::TestX::test_y[z]`.
    """
    found = []
    in_tests = False
    for line in text.splitlines():
        if not line.startswith(" "):
            in_tests = line.startswith("test:")
        if in_tests:
            found += [word for word in line.split() if "::" in word]
    return tuple(found)


def pytest_collection_modifyitems(items: Iterable[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes fails the run."""
    listed = listed_tests(KNOWN_RED.read_text()) if KNOWN_RED.exists() else ()
    mark = pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True)
    for item in items:
        if item.nodeid.endswith(listed):
            item.add_marker(mark)
