"""
Decodes data that another process wrote.

Whatever the bytes are, a decoder returns a value of its type or raises `InvalidData`.
The number types leave out what cannot be encoded again or compared.
"""

import functools
from collections.abc import Callable
from types import ModuleType
from typing import Annotated, Generic, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from kumquatway_core.exceptions import InvalidData

MAX_INTEGER = 2**53  # floats hold it exactly, and sums of many still fit in 64 bits
MAX_LAYER = 65_535
# Of what is decoded item by item; one of three bytes becomes an object of a hundred.
MAX_ITEMS = 65_536  # of a collection
MAX_JSON_VALUES = 200_000  # of a document
MAX_INVALID_ITEMS = 1000  # of a document; beyond, it is invalid as a whole
MAX_REPORTED_ITEMS = 8  # of those, one by one

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Layer = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYER)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_INTEGER))]
# Seconds since something happened: infinite if it never did, but not NaN.
Age = Annotated[float, msgspec.Meta(ge=0.0)]

# In MessagePack, by the first byte of an array or a map.
_LENGTH_BYTES = {0xDC: 2, 0xDD: 4, 0xDE: 2, 0xDF: 4}

# What msgspec raises on hostile bytes, beside its own errors: values that nest deeper
# than the interpreter's recursion limit, and numbers that are out of range.
_FAILURES = (msgspec.MsgspecError, RecursionError, OverflowError, ValueError)

T = TypeVar("T")


class TooManyItems(InvalidData):
    """Data holds more items, or more invalid ones, than a sound process writes."""


def parse_count(text: bytes) -> int | None:
    """
    Parse a number in a header field.

    :param text: the value of the field.
    :return: the number, or None if the text is not a `Count` in decimal digits.
    """
    # `int` refuses thousands of digits with an error of its own.
    if not text.isdigit() or len(text) > len(str(MAX_INTEGER)):
        return None
    number = int(text)
    return number if number <= MAX_INTEGER else None


def parse_amount(text: bytes) -> float | None:
    """
    Parse a number that may have a fraction, in a header field.

    :param text: the value of the field.
    :return: the number, or None if the text is not an `Amount`: NaN, infinite, negative
        or too large.
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_INTEGER else None


def convert(value: object, kind: type[T]) -> T:
    """
    Convert parsed data, such as that of a TOML document, to a type.

    :param value: the data.
    :param kind: the expected type.
    :return: an instance of the type.
    :raises InvalidData: if the data does not fit the type.
    """
    try:
        return msgspec.convert(value, kind)
    except _FAILURES as error:
        raise InvalidData(str(error)) from error


class Decoder(Generic[T]):
    """
    Decodes data of one type.

    :param kind: the expected type.
    :param codec: `msgspec.json` or `msgspec.msgpack`.
    """

    def __init__(self, kind: type[T], *, codec: ModuleType):
        self._decoder = codec.Decoder(kind)

    def decode(self, data: bytes) -> T:
        """
        Decode data.

        :param data: any bytes.
        :return: an instance of the type.
        :raises InvalidData: if the bytes are not one.
        """
        try:
            return self._decoder.decode(data)
        except _FAILURES as error:
            raise InvalidData(str(error)) from error


def decode(data: bytes, kind: type[T], *, codec: ModuleType) -> T:
    """
    Decode data of a type that only the caller knows.

    :param data: any bytes.
    :param kind: the expected type.
    :param codec: `msgspec.json` or `msgspec.msgpack`.
    :return: an instance of the type.
    :raises InvalidData: if the bytes are not one.
    """
    return _decoder(kind, codec).decode(data)


@functools.cache
def _decoder(kind: type[T], codec: ModuleType) -> Decoder[T]:
    return Decoder(kind, codec=codec)


class ItemwiseDecoder(Generic[T]):
    """
    Decodes a struct, and leaves out those items of its collections that are invalid.

    An optional field that is invalid gets its default. Load pattern: a faulty process
    sends items without end; to decode or report them all exhausts memory and time.

    :param kind: the struct; its tuples and dictionaries are collections of items.
    :param codec: `msgspec.json` or `msgspec.msgpack`.
    """

    def __init__(self, kind: type[T], *, codec: ModuleType):
        self.kind = kind
        self.is_json = codec is msgspec.json
        self._decoder = Decoder(kind, codec=codec)
        hints = get_type_hints(kind, include_extras=True)
        fields = msgspec.structs.fields(kind)
        collections = {f.name for f in fields if _item_type(hints[f.name]) is not None}
        self._empty_if_invalid = {
            field.name for field in fields if field.required
        } & collections
        self._parts = {
            field.name: _part_decoder(hints[field.name], codec)
            for field in fields
            if not field.required or field.name in collections
        }
        self._outline = Decoder(_outline(kind, hints, self._parts), codec=codec)

    def decode(self, data: bytes, on_invalid: Callable[[str, InvalidData], None]) -> T:
        """
        Decode data.

        :param data: any bytes.
        :param on_invalid: called with the field and the error of each part left out.
        :return: an instance of the struct.
        :raises InvalidData: if the bytes are not a struct, or a required field that is
            no collection is invalid, or there are too many items.
        """
        self._check_count(data)
        try:
            return self._decoder.decode(data)
        except InvalidData:
            outline = self._outline.decode(data)
        on_invalid = _report_some(on_invalid)
        values = {}
        for name in self.kind.__struct_fields__:
            value = getattr(outline, name)
            if name not in self._parts:
                values[name] = value
            elif value is not msgspec.UNSET:
                self._decode_part(values, name, value, on_invalid)
        return self.kind(**values)

    def _check_count(self, data: bytes) -> None:
        """Raise an error for too many items, before any of them becomes an object."""
        if self.is_json:
            if data.count(b",") > MAX_JSON_VALUES:
                raise TooManyItems(f"more than {MAX_JSON_VALUES} values")
            return
        if len(data) <= MAX_ITEMS:  # an item takes a byte at least
            return
        outline = self._outline.decode(data)
        for name in self._parts:
            part = getattr(outline, name)
            if part is not msgspec.UNSET and _length(memoryview(part)) > MAX_ITEMS:
                raise TooManyItems(f"more than {MAX_ITEMS} items in {name}")

    def _decode_part(
        self,
        values: dict,
        name: str,
        raw: msgspec.Raw,
        on_invalid: Callable[[str, InvalidData], None],
    ) -> None:
        def skip(error: InvalidData) -> None:
            on_invalid(name, error)

        try:
            values[name] = self._parts[name](bytes(raw), skip)
        except TooManyItems:
            raise
        except InvalidData as error:
            skip(error)
            if name in self._empty_if_invalid:
                values[name] = ()


_PartDecoder = Callable[[bytes, Callable[[InvalidData], None]], object]


def _report_some(
    on_invalid: Callable[[str, InvalidData], None],
) -> Callable[[str, InvalidData], None]:
    """Return a function that passes on few errors, and raises one for too many."""
    count = 0

    def report(field: str, error: InvalidData) -> None:
        nonlocal count
        count += 1
        if count > MAX_INVALID_ITEMS:
            raise TooManyItems(f"more than {MAX_INVALID_ITEMS} invalid items")
        if count <= MAX_REPORTED_ITEMS:
            on_invalid(field, error)

    return report


def _item_type(hint: object) -> object | None:
    """Return the type of a collection's items, or None for any other type."""
    arguments = get_args(hint)
    if get_origin(hint) is tuple and arguments[1:] == (Ellipsis,):
        return arguments[0]
    return arguments[1] if get_origin(hint) is dict else None


def _part_decoder(hint: object, codec: ModuleType) -> _PartDecoder:
    """Return a decoder of one field, which leaves out invalid items."""
    item_type = _item_type(hint)
    if item_type is None:
        whole = Decoder(hint, codec=codec)
        return lambda data, on_invalid: whole.decode(data)
    item = Decoder(item_type, codec=codec)
    if get_origin(hint) is dict:
        entries = Decoder(dict[get_args(hint)[0], msgspec.Raw], codec=codec)

        def decode_dict(data: bytes, on_invalid: Callable) -> dict:
            found = entries.decode(data).items()
            valid = (
                (name, value)
                for name, raw in found
                for value in _decode_valid(item, raw, on_invalid)
            )
            return dict(valid)

        return decode_dict
    items = Decoder(tuple[msgspec.Raw, ...], codec=codec)

    def decode_tuple(data: bytes, on_invalid: Callable) -> tuple:
        return tuple(
            value
            for raw in items.decode(data)
            for value in _decode_valid(item, raw, on_invalid)
        )

    return decode_tuple


def _length(data: memoryview) -> int:
    """Return the number of items that MessagePack states, 0 if that is in one byte."""
    width = _LENGTH_BYTES.get(data[0], 0)
    return int.from_bytes(data[1 : 1 + width], "big")


def _decode_valid(item: Decoder, raw: msgspec.Raw, on_invalid: Callable) -> tuple:
    """Return the decoded item in a tuple, which is empty if it is invalid."""
    try:
        return (item.decode(bytes(raw)),)
    except InvalidData as error:
        on_invalid(error)
        return ()


def _outline(
    kind: type, hints: dict[str, object], parts: dict[str, _PartDecoder]
) -> type:
    """Return a struct like `kind` whose parts are not decoded yet."""
    fields = []
    for field in msgspec.structs.fields(kind):
        if field.name not in parts:
            fields.append((field.name, hints[field.name]))
        elif field.required:
            fields.append((field.name, msgspec.Raw))
        else:
            unset = msgspec.Raw | msgspec.UnsetType
            fields.append((field.name, unset, msgspec.UNSET))
    return msgspec.defstruct(
        f"{kind.__name__}Outline",
        fields,
        array_like=kind.__struct_config__.array_like,
        kw_only=True,
        rename={f.name: f.encode_name for f in msgspec.structs.fields(kind)},
    )
