"""
Read.

Records of events among the lines of logs.
"""

from collections.abc import Iterable

import msgspec

from kumquatway_core.decoding import Decoder
from kumquatway_core.events import Record
from kumquatway_core.exceptions import InvalidData

_decoder = Decoder(Record, codec=msgspec.json)


def read_records(lines: Iterable[str]) -> tuple[Record, ...]:
    """
    Find the records in lines of any origin; what stands before `{` is skipped.

    :param lines: of logs, from one process or many, in any order.
    :return: the records, in the order of their clocks.
    """
    found = []
    for line in lines:
        start = line.find('{"process"')
        if start < 0:
            continue
        try:
            found.append(_decoder.decode(line[start:]))
        except InvalidData:
            continue
    return tuple(sorted(found, key=lambda one: (one.clock, one.process)))
