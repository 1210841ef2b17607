"""Test data: a model service on servers with different accelerators."""

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

# Number of accelerators by data centre and kind, as in a deployment of the users.
FLEET = {
    "a": {"big": 3, "middle": 3, "small": 5},
    "b": {"big": 1, "middle": 5, "small": 8},
    "c": {"big": 1, "middle": 7, "small": 5},
}


def servers(fleet: dict[str, dict[str, int]] = FLEET) -> list[Server]:
    """Return the servers of a fleet, none of which holds layers."""
    return [
        server(f"{data_centre}-{kind}-{number}", data_centre, kind)
        for data_centre, kinds in fleet.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def server(
    name: str, data_centre: str, kind: str, layers: LayerRange = NO_LAYERS
) -> Server:
    """Return a server."""
    return Server(
        id=name,
        service="model",
        address=f"{name}:80",
        data_centre=data_centre,
        accelerator=kind,
        layers=layers,
        incarnation=1,
    )


def layer_range(start: int, stop: int) -> LayerRange:
    """Return a range of layers, without the one at `stop`."""
    return LayerRange(start=start, stop=stop)
