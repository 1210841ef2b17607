"""
Text.

Texts of the benchmarks.
"""

import hashlib

from benchmarks._load import KEY


def make_source(models: dict[str, int], services: tuple[str, ...] = ()) -> str:
    """
    Write a text.

    :param models: layers by name.
    :param services: names of plain services.
    :return: TOML.
    """
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    lines = ['name = "bench"', "", "[accelerators.any]", "memory_mib = 80000"]
    lines += ["layer_us = 100", "token_us = 1", "", "[accounts.bench]"]
    lines += [f'keys = ["{digest}"]', "requests_per_second = 1e6"]
    lines += ["tokens_per_second = 1e9", "max_concurrent = 100000"]
    for name, layers in models.items():
        lines += ["", f"[models.{name}]", f"layers = {layers}"]
    for name in services:
        lines += ["", f"[services.{name}]"]
    return "\n".join(lines) + "\n"
