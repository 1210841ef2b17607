"""
Members.

Processor time and memory of one entry's replica of the membership, by its size.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from benchmarks._stats import Line, fit_line, load_average
from kumquatway.admin import StatusView
from kumquatway.admin._status import view_member
from kumquatway.membership import Members, Subset
from kumquatway.routing import choose_route
from kumquatway_core.platform import VM, VMs
from kumquatway_core.text import Model
from kumquatway_core.wire import Holding, Load, Status, VMState

SIZES = (100, 400, 800, 1_500)
MODELS = 29
STAGES = 4
LAYERS = 32
ROUNDS = 9
VERSION = "1"
MS = 1000  # in a second


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """
    Figures of one size.

    :param listed: seconds to decode and take in the platform's list.
    :param chosen: seconds to choose the subset anew after a change.
    :param routed: seconds to choose a route.
    :param list_bytes: of the list on the wire.
    :param view_bytes: of the whole status as operators read it.
    :param memory: bytes that members and subset hold.
    :param subset: members in use.
    """

    vms: int
    listed: float
    chosen: float
    routed: float
    list_bytes: int
    view_bytes: int
    memory: int
    subset: int


def make_list(count: int) -> VMs:
    """
    Make a list of VMs.

    :param count: how many.
    :return: the list.
    """
    return VMs(
        vms=tuple(
            VM(
                name=f"vm-{index}",
                address=f"127.0.{index // 250}.{index % 250}:7000",
                data_centre=f"dc{index % 7}",
                rack=f"rack-{index % 40}",
                accelerator=f"kind-{index % 5}",
            )
            for index in range(count)
        ),
        as_of=0.0,
    )


def make_status(index: int, vm: VM) -> Status:
    """
    Make the status of a VM that holds one stage of one model.

    :param index: of the VM.
    :param vm: as listed.
    :return: the status.
    """
    size = LAYERS // STAGES
    stage = index // MODELS % STAGES
    holding = Holding(
        model=f"model-{index % MODELS}",
        version=VERSION,
        first=stage * size,
        end=(stage + 1) * size,
    )
    return Status(
        vm=vm.name,
        address=vm.address,
        incarnation=1,
        data_centre=vm.data_centre,
        accelerator=vm.accelerator,
        state=VMState.LIVE,
        version=1,
        holdings=(holding,),
        load=Load(streams=3, step_seconds=0.04),
    )


def measure(count: int) -> Row:
    """
    Measure one size.

    :param count: VMs.
    :return: the figures.
    """
    listed = make_list(count)
    data = msgspec.json.encode(listed)
    gc.collect()
    tracemalloc.start()
    members = Members()
    members.take_list(msgspec.json.decode(data, type=VMs).vms)
    for index, vm in enumerate(listed.vms):
        members.take_status(make_status(index, vm))
    subset = Subset(entry="127.0.0.1:1", members=members, is_down=lambda vm: False)
    usable = subset.usable()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    model = Model(layers=LAYERS, version=VERSION)

    def take_list() -> None:
        members.take_list(msgspec.json.decode(data, type=VMs).vms)

    def choose() -> None:
        subset.stale = True
        subset.usable()

    def route() -> None:
        choose_route(members=subset.usable(), name="model-0", model=model)

    return Row(
        vms=count,
        listed=_median_seconds(take_list),
        chosen=_median_seconds(choose),
        routed=_median_seconds(route),
        list_bytes=len(data),
        view_bytes=_view_bytes(members),
        memory=memory,
        subset=len(usable),
    )


def _view_bytes(members: Members) -> int:
    views = tuple(view_member(found) for found in members.by_vm.values())
    view = StatusView(process="entry-0", revision=1, ready=True, members=views)
    return len(msgspec.json.encode(view))


def _median_seconds(run: Callable[[], None]) -> float:
    seconds = []
    for _ in range(ROUNDS):
        before = time.process_time()
        run()
        seconds.append(time.process_time() - before)
    return statistics.median(seconds)


def main() -> None:
    """Measure all sizes and print the table."""
    rows = [measure(count) for count in SIZES]
    print(f"{load_average()}\n")
    print(
        "| VMs | list, ms | subset, ms | route, ms | list, B | status, B | memory, B "
        "| in use |"
    )
    print("| --- |" + " --- |" * 7)
    for row in rows:
        print(
            f"| {row.vms} | {row.listed * MS:.2f} | {row.chosen * MS:.2f} | "
            f"{row.routed * MS:.2f} | {row.list_bytes} | "
            f"{row.view_bytes} | {row.memory} | {row.subset} |"
        )
    print("\n| | slope for a VM | at none | fit |\n| --- | --- | --- | --- |")
    _print_line("list, us", _fit(rows, lambda row: row.listed * 1e6))
    _print_line("subset, us", _fit(rows, lambda row: row.chosen * 1e6))
    _print_line("route, us", _fit(rows, lambda row: row.routed * 1e6))
    _print_line("list, B", _fit(rows, lambda row: row.list_bytes))
    _print_line("status, B", _fit(rows, lambda row: row.view_bytes))
    _print_line("memory, B", _fit(rows, lambda row: row.memory))


def _fit(rows: list[Row], read: Callable[[Row], float]) -> Line:
    return fit_line([row.vms for row in rows], [read(row) for row in rows])


def _print_line(name: str, line: Line) -> None:
    print(f"| {name} | {line.slope:.3g} | {line.intercept:.3g} | {line.fit:.3f} |")


if __name__ == "__main__":
    main()
