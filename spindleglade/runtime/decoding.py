"""Reading what others send."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode(decoder: Callable[[bytes], T], data: bytes) -> T:
    """Raises msgspec.DecodeError on anything malformed. Nested too deeply it broke whoever read it."""
    try:
        return decoder(data)
    except RecursionError:
        raise msgspec.DecodeError("nested too deeply") from None
