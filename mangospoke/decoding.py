"""Decoding of what another process wrote, which may be anything.

msgspec reports most of what it can't decode by its own errors. Content that is nested
too deeply raises `RecursionError`, which no caller of a decoder expects: the service
that reads it would fail, be restarted, and fail again.
"""

from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from mangospoke.numbers import MAX_WHOLE_NUMBER

WholeNumber = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
"""A number that every other encoding, and a float, can hold."""

_Decoded = TypeVar("_Decoded")
_AnyDecoder = msgspec.json.Decoder[_Decoded] | msgspec.msgpack.Decoder[_Decoded]


def decode_json(content: bytes, decoded_type: type[_Decoded]) -> _Decoded:
    """Decodes JSON.

    Raises:
        msgspec.DecodeError: If it can't be decoded as that type.
    """
    try:
        return msgspec.json.decode(content, type=decoded_type)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_msgpack(content: bytes, decoded_type: Any) -> Any:
    """Decodes MessagePack.

    Raises:
        msgspec.DecodeError: If it can't be decoded as that type.
    """
    try:
        return msgspec.msgpack.decode(content, type=decoded_type)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_with(decoder: _AnyDecoder[_Decoded], content: bytes) -> _Decoded:
    """Decodes with a prepared decoder.

    Raises:
        msgspec.DecodeError: If it can't be decoded as the decoder's type.
    """
    try:
        return decoder.decode(content)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error
