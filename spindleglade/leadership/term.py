"""The term of a leader, and the records of it in the store."""

import msgspec

from spindleglade.store.messages import Condition
from spindleglade.submissions.records import KEY_PREFIX

LEADER_KEY = KEY_PREFIX + "leader"
TOKEN_KEY = KEY_PREFIX + "token"
# The number of consecutive tokens that belong to a term. A leader does not use them up, because it raises the
# token of a machine at most once per response to a heartbeat.
TOKENS_PER_TERM = 1_000_000_000


def last_token_of_term(first_token: int) -> int:
    """The highest token of the term that begins with this token."""
    return first_token + TOKENS_PER_TERM - 1


class LeaderRecord(msgspec.Struct, frozen=True):
    """The value of the leader key, which is bound to the leader's lease."""

    controller: str = msgspec.field(name="node")
    token: int


class TokenRecord(msgspec.Struct, frozen=True):
    """The value of the token key: the highest token of the latest term. It is not bound to a lease."""

    token: int


class Term(msgspec.Struct, frozen=True):
    """A term of a leader, which begins with a won election."""

    # The first of the term's fencing tokens, which identifies the term. Messages to workers carry this token
    # or a higher one of the term.
    token: int
    # The mod_revision of the leader key as written by the election.
    mod_revision: int
    # The ID of the lease that the leader key is bound to.
    lease: int

    @property
    def last_token(self) -> int:
        """The highest token of the term."""
        return last_token_of_term(self.token)

    @property
    def condition(self) -> Condition:
        """The condition on every write of the leader: no other controller has been elected since."""
        return Condition(LEADER_KEY, self.mod_revision)
