"""What the store holds of a leader's term, and what the leader itself knows of it."""

import msgspec

from spindleglade.store.messages import Condition
from spindleglade.submissions.records import PREFIX

LEADER = PREFIX + "leader"
TOKEN = PREFIX + "token"


class LeaderRecord(msgspec.Struct, frozen=True):
    """The value of the leader key, which is bound to the leader's lease."""

    controller: str = msgspec.field(name="node")
    token: int


class TokenRecord(msgspec.Struct, frozen=True):
    """The value of the token key: the token of the last election. It outlives every lease."""

    token: int


class Term(msgspec.Struct, frozen=True):
    """A won election: the fencing token for workers, and what makes the leader's writes conditional."""

    token: int
    # Of the leader key, as written by this election.
    mod_revision: int
    lease: int

    @property
    def condition(self) -> Condition:
        """The condition on every write of the leader: that nobody was elected since."""
        return Condition(LEADER, self.mod_revision)
