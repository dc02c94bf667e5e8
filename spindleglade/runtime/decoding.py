"""Decoding of messages that others send."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode(decoder: Callable[[bytes], T], data: bytes) -> T:
    """What `decoder` makes of the data; raises msgspec.DecodeError on anything malformed.

    That includes data nested too deeply, on which msgspec's decoders raise RecursionError, which no caller
    expects.
    """
    try:
        return decoder(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
