"""Messages of the state service's protocol, and the results of the client's calls.

`msgspec.field(name=...)` gives the name on the wire where it differs from the attribute's name.
"""

from typing import Any, NamedTuple

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """A key with its value, and the revision at which it last changed."""

    key: str = msgspec.field(name="k")
    value: msgspec.Raw = msgspec.field(name="v")
    mod_revision: int = msgspec.field(name="mark")


class Change(msgspec.Struct, frozen=True):
    """One change reported by a watch: a key set to a value, or removed."""

    mod_revision: int = msgspec.field(name="mark")
    put: str | None = msgspec.field(name="set", default=None)
    value: msgspec.Raw = msgspec.field(name="v", default=msgspec.Raw(b"null"))
    removed: str | None = msgspec.field(name="remove", default=None)


class ListResponse(msgspec.Struct):
    """One page of a listing of the keys with a prefix."""

    entries: list[Entry]
    revision: int = msgspec.field(name="turn")
    has_next: bool = False


class WatchResponse(msgspec.Struct):
    """The changes after the requested revision, up to `revision`."""

    revision: int = msgspec.field(name="turn")
    changes: list[Change] = msgspec.field(name="log", default_factory=list)


class CommitResponse(msgspec.Struct):
    """A transaction was committed at this revision of the store."""

    revision: int = msgspec.field(name="turn", default=0)


class ConflictResponse(msgspec.Struct):
    """A transaction was not committed, because the conditions on the keys in `failed` did not hold."""

    failed: list[str] = []
    revision: int = msgspec.field(name="turn", default=0)


class LeaseResponse(msgspec.Struct):
    """The number of a granted lease."""

    lease: int = msgspec.field(name="hold")


class Condition(msgspec.Struct, frozen=True):
    """Requires that a key last changed at `mod_revision`, or does not exist if that is 0."""

    key: str = msgspec.field(name="k")
    mod_revision: int = msgspec.field(name="mark")


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    """Sets a key to a value. If a lease is given, the key is removed when the lease ends."""

    key: str = msgspec.field(name="set")
    value: msgspec.Raw = msgspec.field(name="v")
    lease: int | None = msgspec.field(name="hold", default=None)


class Delete(msgspec.Struct, frozen=True):
    """Removes a key."""

    key: str = msgspec.field(name="remove")


class TransactionRequest(msgspec.Struct):
    """A transaction, which carries out all writes if all conditions hold, and none otherwise."""

    conditions: list[Condition] = msgspec.field(name="when")
    writes: list[Put | Delete] | list[Any]


class LeaseRequest(msgspec.Struct):
    """Requests a lease that expires unless it is renewed within `ttl_ms` milliseconds."""

    ttl_ms: int


class Committed(NamedTuple):
    """All conditions held, and all writes were committed at this revision."""

    revision: int


class ConditionFailed(NamedTuple):
    """The conditions on the keys in `failed` did not hold, and nothing was changed."""

    failed: frozenset[str]
    revision: int


class Listing(NamedTuple):
    """All keys with a prefix, and the revision of the first page of the listing."""

    entries: list[Entry]
    revision: int
    # The number of pages, which are read one after the other.
    pages: int = 1


class WatchResult(NamedTuple):
    """The changes after the requested revision, up to `revision`."""

    revision: int
    changes: list[Change]


def encode_value(value: Any) -> msgspec.Raw:
    """Encodes a value as JSON, the form in which it is stored."""
    return msgspec.Raw(msgspec.json.encode(value))
