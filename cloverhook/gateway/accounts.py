"""Client accounts: who may send requests, with which keys and how many.

Layer: state.  Of a key only its digest is kept, so that no message, log line or dump can hold the
key itself.

>>> index = AccountIndex((ClientAccount("mill", (digest_of(b"secret"),), rate_per_s=5.0),))
>>> index.find(digest_of(b"secret")).name, index.find(digest_of(b"other"))
('mill', None)
"""

# `hashlib` would load OpenSSL, which takes several MB on every VM.
from _blake2 import blake2b
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from cloverhook.checking import Integer, Items, Kind, Number, Table, Text

__all__ = ["ACCOUNT_DOCUMENT", "AccountIndex", "ClientAccount", "digest_of"]

DIGEST_BYTES = 16
DIGEST_PURPOSE = b"cloverhook key"
"""Makes the digests differ from those that other programs compute of the same keys."""
RATE_LIMIT_PER_S = 1e9
PRIORITY = Integer()


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account: the digests of its keys, its priority and its allotment.

    `rate_per_s` requests a second and `burst` requests more are the allotment for the whole fleet;
    a rate of 0 means that there is no limit.  A `priority` of None leaves that of the route.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "ClientAccount":
        """Build an account from the document that peers exchange."""
        digests = tuple(bytes.fromhex(digest) for digest in document["key_digests"])
        return cls(**{**document, "key_digests": digests})

    def to_document(self) -> dict[str, Any]:
        """Return the document in which peers exchange an account."""
        document: dict[str, Any] = {
            "name": self.name,
            "key_digests": [digest.hex() for digest in self.key_digests],
            "rate_per_s": self.rate_per_s,
            "burst": self.burst,
        }
        if self.priority is not None:
            document["priority"] = self.priority
        return document


ACCOUNT_DOCUMENT: Kind = Table(
    {
        "name": Text(),
        "key_digests": Items(Text("a digest", rf"[0-9a-f]{{{2 * DIGEST_BYTES}}}")),
        "priority": PRIORITY,
        "rate_per_s": Number(0, RATE_LIMIT_PER_S),
        "burst": Number(0, RATE_LIMIT_PER_S),
    },
    frozenset({"name", "key_digests"}),
)


@dataclass(frozen=True, slots=True)
class AccountIndex:
    """The accounts of one configuration, by the digests of their keys."""

    accounts: tuple[ClientAccount, ...]
    by_digest: Mapping[bytes, ClientAccount] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        """Build the index."""
        by_digest = {digest: item for item in self.accounts for digest in item.key_digests}
        object.__setattr__(self, "by_digest", by_digest)

    def find(self, digest: bytes) -> ClientAccount | None:
        """Return the account that has the key with this digest.

        The time of the look-up shows nothing about a key, as callers can't choose digests.
        """
        return self.by_digest.get(digest)

    def first_priority(self) -> int | None:
        """Return the lowest priority value of the accounts; None if no account has one."""
        return min(
            (item.priority for item in self.accounts if item.priority is not None), default=None
        )


def digest_of(key: bytes) -> bytes:
    """Return the digest by which a key is known."""
    return blake2b(key, digest_size=DIGEST_BYTES, person=DIGEST_PURPOSE).digest()
