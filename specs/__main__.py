"""
Report.

Explores every specification and refutes every mutant: `python -m specs`.
"""

import sys
import time
from types import ModuleType

from . import claims, leases, revisions, steps
from ._explore import explore, refute

MODULES = (claims, leases, steps, revisions)


def main() -> int:
    """
    Print what each exploration found.

    :return: 1 if a specification fails or a mutant is not refuted, else 0.
    """
    results = [_report(module) for module in MODULES]
    return 0 if all(results) else 1


def _report(module: ModuleType) -> bool:
    good = True
    for spec in module.specs():
        found = explore(spec)
        good &= found.holds() and len(found.reached) == len(spec.goals)
        print(
            f"{spec.name}: states {found.states}, depth {found.depth}, "
            f"holds {found.holds()}, goals reached {len(found.reached)} of "
            f"{len(spec.goals)}, {found.seconds:.1f} s"
        )
    return good & _report_mutants(module)


def _report_mutants(module: ModuleType) -> bool:
    start = time.perf_counter()
    runs = [(mutant, refute(mutant)) for mutant in module.mutants()]
    seconds = time.perf_counter() - start
    refuted = sum(bool(run) for _, run in runs)
    print(f"  mutants refuted {refuted} of {len(runs)}, {seconds:.1f} s")
    for mutant, run in runs:
        print(f"    without '{mutant.guard}': {mutant.breaks} fails in {len(run)}")
    return refuted == len(runs)


if __name__ == "__main__":
    sys.exit(main())
