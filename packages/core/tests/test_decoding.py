"""Tests that any bytes give a value of the expected type, or `InvalidData`."""

import contextlib
import math

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from kumquatway_core.decoding import (
    Age,
    Count,
    Decoder,
    ItemwiseDecoder,
    convert,
    parse_amount,
    parse_count,
)
from kumquatway_core.exceptions import InvalidData


class _Item(msgspec.Struct, frozen=True):
    name: str
    age: Age = 0.0


class _Page(msgspec.Struct, frozen=True, rename={"is_last": "last"}):
    version: Count
    items: tuple[_Item, ...]
    is_last: bool = False
    newest: _Item | None = None
    counts: dict[str, Count] = {}


LONG_NUMBER = b"9" * 5000  # more digits than Python's limit for `int`
INFINITE = [b"inf", b"1e999", b"Infinity", LONG_NUMBER]
CODECS = pytest.mark.parametrize(
    "codec", [msgspec.json, msgspec.msgpack], ids=["json", "msgpack"]
)
NESTED_JSON = b"[" * 5000
NESTED_MSGPACK = b"\x91" * 5000


class TestDecoder:
    """Bytes that raise other errors than those of the codec."""

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            NESTED_JSON,
            b'{"name":"a","new":' + NESTED_JSON,
            b'{"name":"\xff"}',
            b'{"name":"a","age":NaN}',
            b'{"name":"a","age":-1}',
            b'{"name":"a","age":1e999}',
            b"{}",
        ],
    )
    def test_invalid_json(self, data):
        with pytest.raises(InvalidData):
            Decoder(_Item, codec=msgspec.json).decode(data)

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\xc1",
            NESTED_MSGPACK,
            b"\x82\xa4name\xa1a\xa3new" + NESTED_MSGPACK,
            b"\x81\xa4name\xa1\xff",
            msgspec.msgpack.encode({"name": "a", "age": math.nan}),
        ],
    )
    def test_invalid_msgpack(self, data):
        with pytest.raises(InvalidData):
            Decoder(_Item, codec=msgspec.msgpack).decode(data)

    @pytest.mark.parametrize("number", [-1, 2**53 + 1, 2**64, 10**400])
    def test_a_count_that_cannot_be_added_up(self, number):
        with pytest.raises(InvalidData):
            convert(number, Count)

    @CODECS
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, codec, data):
        with contextlib.suppress(InvalidData):
            assert isinstance(Decoder(_Item, codec=codec).decode(data), _Item)


class TestNumbers:
    """Numbers in header fields that raised an error, or were infinite."""

    @pytest.mark.parametrize(
        "text", [b"", b"-1", b"\xb2", b"1.0", b"9" * 17, *INFINITE]
    )
    def test_no_count(self, text):
        assert parse_count(text) is None

    @pytest.mark.parametrize("text", [b"", b"-1", b"nan", b"\xb2", b"x", *INFINITE])
    def test_no_amount(self, text):
        assert parse_amount(text) is None


def _decode(codec, page: dict) -> tuple[_Page, list[str]]:
    skipped = []
    page = ItemwiseDecoder(_Page, codec=codec).decode(
        codec.encode(page), lambda field, error: skipped.append(field)
    )
    return page, skipped


class TestItemwiseDecoder:
    """One invalid item of a list cost the whole message."""

    @CODECS
    @pytest.mark.parametrize(
        "item", [None, 7, {}, {"name": 3}, {"name": "b", "age": -1.0}, [[]]]
    )
    def test_the_other_items_hold(self, codec, item):
        page = {"version": 1, "items": [{"name": "a"}, item, {"name": "c"}]}
        found, skipped = _decode(codec, page)
        assert [each.name for each in found.items] == ["a", "c"]
        assert skipped == ["items"]

    @CODECS
    def test_the_other_entries_of_a_dictionary_hold(self, codec):
        counts = {"a": 1, "b": -1, "c": "x", "d": 4}
        found, skipped = _decode(codec, {"version": 1, "items": [], "counts": counts})
        assert found.counts == {"a": 1, "d": 4}
        assert skipped == ["counts", "counts"]

    @CODECS
    def test_an_optional_field_gets_its_default(self, codec):
        page = {"version": 1, "items": [], "newest": {"name": 1}, "last": True}
        found, skipped = _decode(codec, page)
        assert (found.newest, found.is_last, skipped) == (None, True, ["newest"])

    @CODECS
    def test_a_list_that_is_none_is_empty(self, codec):
        found, skipped = _decode(codec, {"version": 1, "items": 5})
        assert (found.items, skipped) == ((), ["items"])

    @CODECS
    @pytest.mark.parametrize("version", [None, "1", -1])
    def test_a_required_field_has_to_be_valid(self, codec, version):
        with pytest.raises(InvalidData):
            _decode(codec, {"version": version, "items": []})

    @CODECS
    def test_a_valid_message_is_decoded_as_a_whole(self, codec):
        page = _Page(version=1, items=(_Item(name="a", age=math.inf),), is_last=True)
        if codec is msgspec.json:
            page = msgspec.structs.replace(page, items=(_Item(name="a", age=2.5),))
        decoder = ItemwiseDecoder(_Page, codec=codec)
        assert decoder.decode(codec.encode(page), pytest.fail) == page
