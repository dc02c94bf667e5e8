"""The term of a leader, and the records of it in the store."""

import msgspec

from spindleglade.store.messages import Condition
from spindleglade.submissions.records import KEY_PREFIX

LEADER_KEY = KEY_PREFIX + "leader"
TOKEN_KEY = KEY_PREFIX + "token"


class LeaderRecord(msgspec.Struct, frozen=True):
    """The value of the leader key, which is bound to the leader's lease."""

    controller: str = msgspec.field(name="node")
    token: int


class TokenRecord(msgspec.Struct, frozen=True):
    """The value of the token key: the fencing token of the last election. It is not bound to a lease."""

    token: int


class Term(msgspec.Struct, frozen=True):
    """A term of a leader, which begins with a won election."""

    # The fencing token in commands to workers.
    token: int
    # The mod_revision of the leader key as written by the election.
    mod_revision: int
    # The ID of the lease that the leader key is bound to.
    lease: int

    @property
    def condition(self) -> Condition:
        """The condition on every write of the leader: no other controller has been elected since."""
        return Condition(LEADER_KEY, self.mod_revision)
