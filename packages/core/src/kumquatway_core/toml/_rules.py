"""
Types of values with their bounds, and the descriptions that error messages use.
"""

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, get_args, get_origin
from urllib.parse import urlsplit

from msgspec import Meta
from msgspec.inspect import (
    BoolType,
    EnumType,
    FloatType,
    IntType,
    StrType,
    UnionType,
    VarTupleType,
    type_info,
)

MAX_NAME_LENGTH = 64  # characters
MAX_PORT = 65_535

_NAME = r"^[a-z0-9][a-z0-9._-]*\Z"
_DIGEST = r"^[0-9a-f]{64}\Z"


@dataclass(frozen=True, kw_only=True, slots=True)
class Rule:
    """
    A check of a value in addition to its type.

    :param is_valid: returns whether a value is allowed.
    :param expected: description of the values allowed, for messages and the pages of
        the documentation.
    """

    is_valid: Callable[[object], bool]
    expected: str


def _is_address(value: str) -> bool:
    host, colon, port = value.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
        family = ipaddress.IPv6Address
    else:
        family = ipaddress.IPv4Address
    try:
        family(host)
    except ValueError:
        return False
    digits = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    return bool(colon) and digits and int(port) <= MAX_PORT


def _is_url(value: str) -> bool:
    try:
        parts = urlsplit(value)
        address = _is_address(f"{_bracket_ipv6(parts.hostname)}:{parts.port or 80}")
    except ValueError:
        return False
    return parts.scheme in ("http", "https") and address and not parts.username


def _bracket_ipv6(host: str | None) -> str:
    return f"[{host}]" if host and ":" in host else str(host)


Name = Annotated[
    str,
    Meta(
        pattern=_NAME,
        max_length=MAX_NAME_LENGTH,
        description=f"a name of at most {MAX_NAME_LENGTH} characters a-z 0-9 . _ -, "
        "a letter or digit first",
    ),
]
Digest = Annotated[
    str,
    Meta(pattern=_DIGEST, description="a SHA-256 digest, 64 hexadecimal digits"),
]
Address = Annotated[
    str,
    Rule(
        is_valid=_is_address,
        expected="an IP number and a port, such as 127.0.0.1:7000 or [::1]:7000",
    ),
]
Url = Annotated[
    str,
    Rule(
        is_valid=_is_url,
        expected="an http or https URL with an IP number, "
        "such as http://127.0.0.1:9000",
    ),
]


def rules_of(hint: object) -> tuple[Rule, ...]:
    """
    Return the rules in the annotations of a type.

    :param hint: type, with or without annotations.
    :return: its rules.
    """
    if get_origin(hint) is not Annotated:
        return ()
    return tuple(item for item in get_args(hint)[1:] if isinstance(item, Rule))


def describe(hint: object) -> str:
    """
    Describe the values that a type allows, for messages.

    :param hint: type, with or without annotations.
    :return: phrase such as `an integer from 1 to 64`.
    """
    rules = rules_of(hint)
    if rules:
        return rules[0].expected
    plain = get_args(hint)[0] if get_origin(hint) is Annotated else hint
    if get_origin(plain) is tuple:
        return _describe_array(hint, get_args(plain)[0])
    for item in hint.__metadata__ if plain is not hint else ():
        if isinstance(item, Meta) and item.description:
            return item.description
    return _describe_plain(type_info(hint))


def _describe_array(hint: object, item: object) -> str:
    info = type_info(hint)
    minimum = info.min_length if isinstance(info, VarTupleType) else None
    bound = f" of at least {minimum}" if minimum else ""
    return f"an array{bound}, each {describe(item)}"


def _describe_plain(info: object) -> str:
    match info:
        case BoolType():
            return "true or false"
        case EnumType():
            return "one of " + ", ".join(member.value for member in info.cls)
        case IntType():
            return "an integer" + _describe_bounds(info)
        case FloatType():
            return "a number" + _describe_bounds(info)
        case StrType():
            maximum = info.max_length
            minimum = info.min_length or 0
            return (
                f"a string of {minimum} to {maximum} characters"
                if maximum
                else "a string"
            )
        case UnionType():
            return "a table"
    return "a table"


def _describe_bounds(info: IntType | FloatType) -> str:
    if info.gt is not None:
        return f" above {info.gt:,.0f}, at most {info.le:,.0f}"
    if info.ge is not None:
        return f" from {info.ge:,.0f} to {info.le:,.0f}"
    return ""


def integer_range(minimum: int, maximum: int) -> Meta:
    """
    Make the annotation of an integer with a lower and an upper bound.

    :param minimum: lowest value allowed.
    :param maximum: highest value allowed.
    :return: metadata for `Annotated`.
    """
    return Meta(ge=minimum, le=maximum)


def positive_number(maximum: float) -> Meta:
    """
    Make the annotation of a number above 0.

    :param maximum: highest value allowed.
    :return: metadata for `Annotated`.
    """
    return Meta(gt=0, le=maximum)
