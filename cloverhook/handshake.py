"""The handshake in which two daemons prove to each other that they hold the shared key.

Layer: protocol.  The side that dials sends a nonce and the other side answers with its own.  Then
each side authenticates itself with a keyed hash over its role, both nonces and its whole `Hello`.
The nonces prevent replay, the role prevents a proof from being reflected to its author, and the
named target prevents its use at another VM.  The accepting side sends its proof only after it has
verified the other side's.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass, replace
from enum import Enum

from cloverhook.errors import AuthenticationError
from cloverhook.messages import Hello, encode

__all__ = ["NONCE_BYTES", "Handshake", "Role"]

NONCE_BYTES = 16


class Role(Enum):
    """The two sides of a link."""

    CLIENT = b"client"
    SERVER = b"server"

    @property
    def other(self) -> "Role":
        """The role of the other side."""
        return Role.SERVER if self is Role.CLIENT else Role.CLIENT


@dataclass(frozen=True, slots=True)
class Handshake:
    """One side's view of a link that is being opened."""

    key: bytes
    role: Role
    nonce: bytes
    peer_nonce: bytes

    @classmethod
    def from_nonces(cls, key: bytes, role: Role, nonce: bytes, peer_nonce: object) -> "Handshake":
        """Return the view when both nonces are known.

        Raises `AuthenticationError` if the peer's nonce is missing, malformed or equal to ours.
        """
        if not isinstance(peer_nonce, bytes) or len(peer_nonce) != NONCE_BYTES:
            raise AuthenticationError("the peer sent no valid nonce")
        if hmac.compare_digest(nonce, peer_nonce):
            raise AuthenticationError("the peer sent back this daemon's own nonce")
        return cls(key, role, nonce, peer_nonce)

    @staticmethod
    def new_nonce() -> bytes:
        """Return a new random nonce, one that was never used before."""
        return secrets.token_bytes(NONCE_BYTES)

    def prove(self, hello: Hello) -> Hello:
        """Return this side's `Hello` with its proof."""
        return replace(hello, proof=self._proof(hello, self.role))

    def check(self, hello: object, own_vm: str) -> Hello:
        """Return the peer's `Hello`.  Raises `AuthenticationError` if it is invalid."""
        if not isinstance(hello, Hello):
            raise AuthenticationError("the peer sent no hello message")
        if not hmac.compare_digest(hello.proof, self._proof(hello, self.role.other)):
            raise AuthenticationError("the proof in the peer's hello message is wrong")
        if hello.target not in ("", own_vm):
            raise AuthenticationError(f"the peer's hello message is addressed to {hello.target}")
        if hello.vm == own_vm:
            raise AuthenticationError("the peer's hello message has this VM's own name")
        return hello

    def _proof(self, hello: Hello, role: Role) -> bytes:
        nonces = (self.nonce, self.peer_nonce)
        if self.role is Role.SERVER:
            nonces = (self.peer_nonce, self.nonce)
        signed = b"".join((role.value, *nonces, encode(replace(hello, proof=b""))))
        return hmac.new(self.key, signed, hashlib.sha256).digest()
