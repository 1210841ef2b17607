"""Tests that items of a few bytes without end cost little memory and time."""

import time
import tracemalloc

import msgspec
import pytest

from kumquatway_core.decoding import Count, ItemwiseDecoder
from kumquatway_core.exceptions import InvalidData


class _Item(msgspec.Struct, frozen=True, array_like=True):
    name: str
    number: Count = 0


class _Items(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    others: tuple[_Item, ...] = ()


def _many(codec, item: bytes, count: int) -> bytes:
    """Return a document with an item again and again, and a sound one after it."""
    if codec is msgspec.json:
        return b'{"items":[' + (item + b",") * count + b'["sound"]]}'
    array = b"\xdd" + (count + 1).to_bytes(4, "big") + item * count
    return b"\x81\xa5items" + array + b"\x91\xa5sound"


INVALID = [(msgspec.json, b"0"), (msgspec.json, b"{}"), (msgspec.msgpack, b"\xc0")]
SMALL = [(msgspec.json, b'[""]'), (msgspec.msgpack, b"\x91\xa0")]


class TestItemsWithoutEnd:
    """A faulty process sends items of a few bytes, each of which becomes an object."""

    BYTES = 8 << 20  # of a document
    MAX_GROWTH_BYTES = 64 << 20  # of a process
    MAX_SECONDS = 0.1  # for which an event loop may be held

    @pytest.mark.parametrize(("codec", "item"), INVALID + SMALL)
    def test_take_little_time(self, codec, item):
        decoder = ItemwiseDecoder(_Items, codec=codec)
        data = _many(codec, item, self.BYTES // (len(item) + 1))
        started = time.thread_time()
        with pytest.raises(InvalidData):
            decoder.decode(data, lambda field, error: None)
        assert time.thread_time() - started < self.MAX_SECONDS

    @pytest.mark.parametrize(("codec", "item"), INVALID + SMALL)
    def test_take_little_memory(self, codec, item):
        decoder = ItemwiseDecoder(_Items, codec=codec)
        data = _many(codec, item, self.BYTES // (len(item) + 1))
        tracemalloc.start()
        try:
            decoder.decode(data, lambda field, error: None)
        except InvalidData:
            pass
        finally:
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        assert peak < self.MAX_GROWTH_BYTES

    @pytest.mark.parametrize(("codec", "item"), INVALID)
    def test_take_little_time_in_a_datagram(self, codec, item):
        decoder = ItemwiseDecoder(_Items, codec=codec)
        data = _many(codec, item, 60_000 // (len(item) + 1))
        started = time.thread_time()
        with pytest.raises(InvalidData):
            decoder.decode(data, lambda field, error: None)
        assert time.thread_time() - started < self.MAX_SECONDS

    @pytest.mark.parametrize(("codec", "item"), INVALID)
    def test_few_are_reported_and_a_sound_one_is_found(self, codec, item):
        reports = []
        data = _many(codec, item, 500)
        decoder = ItemwiseDecoder(_Items, codec=codec)
        found = decoder.decode(data, lambda field, error: reports.append(field))
        assert found.items == (_Item(name="sound"),)
        assert 0 < len(reports) <= 10

    @pytest.mark.parametrize(("codec", "item"), SMALL)
    def test_as_many_as_a_large_deployment_has_are_decoded(self, codec, item):
        decoder = ItemwiseDecoder(_Items, codec=codec)
        found = decoder.decode(_many(codec, item, 20_000), lambda field, error: None)
        assert len(found.items) == 20_001
