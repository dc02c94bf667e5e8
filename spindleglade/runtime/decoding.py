"""Decoding of messages received from other programs."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode(decoder: Callable[[bytes], T], data: bytes) -> T:
    """Decodes data with `decoder`; raises msgspec.DecodeError if the data is malformed.

    On data that is nested too deeply, msgspec's decoders raise RecursionError, which callers do not handle.
    It is therefore replaced by DecodeError.
    """
    try:
        return decoder(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
