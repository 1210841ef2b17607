"""
Run benchmarks: `python -m benchmarks [NAME ...]`.

Without a name, those that end within minutes.
"""

import runpy
import sys

SHORT = (
    "tokens",
    "config",
    "at_most_once",
    "gateway_lines",
    "unread_log",
    "request_bodies",
    "decisions",
)
LONG = ("control", "members", "recovery", "admission", "planner")


def run(name: str) -> None:
    """
    Run one benchmark and print its tables.

    :param name: of its module.
    """
    print(f"## {name}\n", flush=True)
    sys.argv = [name]
    runpy.run_module(f"benchmarks.{name}", run_name="__main__")
    print(flush=True)


def main() -> None:
    """Run the benchmarks that the command line names."""
    names = tuple(sys.argv[1:]) or SHORT
    unknown = set(names) - set(SHORT + LONG)
    if unknown:
        known = ", ".join(SHORT + LONG)
        sys.exit(f"unknown: {', '.join(sorted(unknown))}; there are {known}")
    for name in names:
        run(name)


if __name__ == "__main__":
    main()
