"""
Split.

Divides the layers of a model between the VMs of one cell.

The VMs, sorted by the layers that they can hold, are cut into runs; each run becomes
a stage of as many layers as its joint speed carries at the flow aimed for. The
highest flow at which the stages cover the model is found by bisection.
"""

from dataclasses import dataclass, field

BISECTIONS = 24
LEAST_FLOW = 1e-3  # share of the flow of stages of equal speed
ROUNDING = 1e-9  # layers
STAGE_COST = 0.001  # layers for each stage
HEADROOM_WORTH = 0.95
SPREADS = ((2, 2), (1, 2), (1, 1))  # racks and VMs of a stage


@dataclass(frozen=True, kw_only=True, slots=True)
class Seat:
    """
    A VM as one model may use it.

    :param vm: name of the VM.
    :param rate: layer-tokens per second for this model.
    :param layers: the most layers of this model it may hold.
    """

    vm: str
    data_centre: str
    rack: str
    kind: str
    rate: float
    layers: int


@dataclass(kw_only=True, slots=True)
class Stage:
    """A range of layers and the VMs that hold it."""

    first: int
    end: int
    seats: list[Seat]

    @property
    def layers(self) -> int:
        """Its number of layers."""
        return self.end - self.first

    @property
    def flow(self) -> float:
        """Tokens per second."""
        return sum(seat.rate for seat in self.seats) / self.layers


@dataclass(kw_only=True, slots=True)
class Cell:
    """VMs that serve one model together."""

    model: str
    stages: list[Stage] = field(default_factory=list)

    @property
    def seats(self) -> list[Seat]:
        """Its VMs."""
        return [seat for stage in self.stages for seat in stage.seats]

    @property
    def flow(self) -> float:
        """Tokens per second."""
        return min((stage.flow for stage in self.stages), default=0.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Run:
    """A run of seats that may become a stage, and the flow it carries."""

    start: int
    stop: int
    rate: float
    layers: int

    def covers(self, flow: float) -> int:
        return min(self.layers, int(self.rate / flow + ROUNDING))


def split(
    model: str,
    layers: int,
    seats: list[Seat],
    spread: tuple[tuple[int, int], ...] = SPREADS,
) -> Cell | None:
    """
    Divide the layers so that the flow is highest.

    A split that leaves half of each VM's memory free for the next version is
    preferred where it costs little flow.

    :param model: name of the model.
    :param layers: its number of layers.
    :param seats: the VMs of the cell.
    :param spread: the least racks and VMs of a stage, the first that works.
    :return: the cell, or None where the VMs cannot hold the model.
    """
    for racks, vms in spread:
        full = _split(model, layers, seats, 1.0, racks, vms)
        if full is None:
            continue
        half = _split(model, layers, seats, 0.5, racks, vms)
        if half is not None and half.flow >= HEADROOM_WORTH * full.flow:
            return half
        return full
    return None


def _split(
    model: str, layers: int, seats: list[Seat], room: float, racks: int, vms: int
) -> Cell | None:
    seats = _sorted(seats)
    runs = _runs(seats, room, racks, vms)
    most = sum(seat.rate for seat in seats) / layers
    low, high = most * LEAST_FLOW, most
    best = _cut(runs, len(seats), low)
    if sum(run.covers(low) for run in best) < layers:
        return None
    for _ in range(BISECTIONS):
        flow = (low + high) / 2
        cut = _cut(runs, len(seats), flow)
        if sum(run.covers(flow) for run in cut) >= layers:
            low, best = flow, cut
        else:
            high = flow
    return _cell(model, layers, seats, best, low)


def _sorted(seats: list[Seat]) -> list[Seat]:
    """Sort by memory, with neighbours of a kind on different racks."""
    turns: dict[tuple[str, str, str], int] = {}
    keyed = []
    for seat in sorted(seats, key=lambda seat: seat.vm):
        place = (seat.kind, seat.data_centre, seat.rack)
        turn = turns[place] = turns.get(place, 0) + 1
        key = (-seat.layers, -seat.rate, seat.kind, turn, seat.rack, seat.vm)
        keyed.append((key, seat))
    return [seat for _, seat in sorted(keyed, key=lambda pair: pair[0])]


def _runs(seats: list[Seat], room: float, racks: int, vms: int) -> list[list[_Run]]:
    """List by their end the runs that spread over enough racks and VMs."""
    runs: list[list[_Run]] = [[] for _ in range(len(seats) + 1)]
    for stop in range(1, len(seats) + 1):
        speed = 0.0
        places = set()
        layers = int(seats[stop - 1].layers * room)
        for start in range(stop - 1, -1, -1):
            seat = seats[start]
            speed += seat.rate
            places.add((seat.data_centre, seat.rack))
            if layers and stop - start >= vms and len(places) >= racks:
                run = _Run(start=start, stop=stop, rate=speed, layers=layers)
                runs[stop].append(run)
    return runs


def _cut(runs: list[list[_Run]], count: int, flow: float) -> list[_Run]:
    """Choose the runs that cover most layers at a flow."""
    best = [0.0] * (count + 1)
    last: list[_Run | None] = [None] * (count + 1)
    for stop in range(1, count + 1):
        best[stop] = best[stop - 1]
        for run in runs[stop]:
            covered = best[run.start] + run.covers(flow) - STAGE_COST
            if covered > best[stop]:
                best[stop], last[stop] = covered, run
    chosen = []
    stop = count
    while stop:
        run = last[stop]
        if run is None:
            stop -= 1
            continue
        chosen.append(run)
        stop = run.start
    return chosen[::-1]


def _cell(
    model: str, layers: int, seats: list[Seat], runs: list[_Run], flow: float
) -> Cell:
    counts = [run.covers(flow) for run in runs]
    excess = sum(counts) - layers
    while excess:
        slowest = min(
            (i for i, count in enumerate(counts) if count),
            key=lambda i: runs[i].rate / counts[i],
        )
        counts[slowest] -= 1
        excess -= 1
    cell = Cell(model=model)
    first = 0
    used = set()
    for run, count in zip(runs, counts, strict=True):
        if not count:
            continue
        members = seats[run.start : run.stop]
        used.update(seat.vm for seat in members)
        cell.stages.append(Stage(first=first, end=first + count, seats=members))
        first += count
    for seat in seats:
        if seat.vm not in used:
            join(cell, seat)
    return cell


def join(cell: Cell, seat: Seat) -> bool:
    """
    Add a VM to the slowest stage that it can hold.

    :param cell: changed in place.
    :param seat: the VM.
    :return: whether a stage took it.
    """
    fits = [stage for stage in cell.stages if stage.layers <= seat.layers]
    if not fits:
        return False
    min(fits, key=lambda stage: stage.flow).seats.append(seat)
    return True
