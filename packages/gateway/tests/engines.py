"""A model service of mixed accelerators, for tests."""

from kumquatway_gateway.model import (
    NO_LAYERS,
    Accelerator,
    Engine,
    EngineTimings,
    LayerRange,
    Server,
)

BIG = Accelerator(
    name="big", memory_megabytes=36_000, step_factor=3.1, prefill_factor=3.2
)
MIDDLE = Accelerator(
    name="middle", memory_megabytes=21_600, step_factor=16, prefill_factor=8.2
)
SMALL = Accelerator(
    name="small", memory_megabytes=14_400, step_factor=15, prefill_factor=15
)

ENGINE = Engine(
    layers=80,
    layer_megabytes=1750,
    kv_bytes_per_token=918_000,
    max_kv_tokens=50_000,
    slots=96,
    load_seconds=14,
    parallel_loads=6,
    mean_prompt_tokens=772,
    mean_output_tokens=154,
    activation_bytes=45_800,
    inter_dc_bytes_per_second=7.9e9 / 8,
    timings=EngineTimings(
        step_seconds=0.00085,
        seconds_per_sequence=0.000006,
        seconds_per_context_token=8e-9,
        prefill_tokens_per_second=252_000,
    ),
    accelerators=(BIG, MIDDLE, SMALL),
)

# Accelerators by data centre, as at one of the users' deployments.
FLEET = {
    "a": {"big": 3, "middle": 3, "small": 5},
    "b": {"big": 1, "middle": 5, "small": 8},
    "c": {"big": 1, "middle": 7, "small": 5},
}


def servers(fleet: dict[str, dict[str, int]] = FLEET) -> list[Server]:
    """Make the servers of a fleet, all empty."""
    return [
        server(f"{centre}-{kind}-{number}", centre, kind)
        for centre, kinds in fleet.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def server(name: str, centre: str, kind: str, layers: LayerRange = NO_LAYERS) -> Server:
    """Make one server."""
    return Server(
        id=name,
        service="model",
        address=f"{name}:80",
        data_centre=centre,
        accelerator=kind,
        layers=layers,
        incarnation=1,
    )


def layer_range(start: int, stop: int) -> LayerRange:
    """Make a range of layers."""
    return LayerRange(start=start, stop=stop)
