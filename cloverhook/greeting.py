"""How daemons prove to each other that they hold the shared key.

Layer: protocol.  The side that dials sends a nonce, the other side answers with its own, and then
each proves itself with a keyed hash over its role, both nonces and its whole greeting.  The nonces
make a replay useless, the role makes a proof useless when it is sent back to its author, and the
named target makes it useless at another VM.  The side that accepts proves itself only after the
other one has.
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
        """Return the view once both nonces are known.  Raises `AuthenticationError`."""
        if not isinstance(peer_nonce, bytes) or len(peer_nonce) != NONCE_BYTES:
            raise AuthenticationError("no nonce")
        if hmac.compare_digest(nonce, peer_nonce):
            raise AuthenticationError("our own nonce came back")
        return cls(key, role, nonce, peer_nonce)

    @staticmethod
    def new_nonce() -> bytes:
        """Return a nonce that was never used."""
        return secrets.token_bytes(NONCE_BYTES)

    def prove(self, hello: Hello) -> Hello:
        """Return our greeting with its proof."""
        return replace(hello, proof=self._proof(hello, self.role))

    def check(self, hello: object, own_vm: str) -> Hello:
        """Return the peer's greeting.  Raises `AuthenticationError` for a wrong one."""
        if not isinstance(hello, Hello):
            raise AuthenticationError("no greeting")
        if not hmac.compare_digest(hello.proof, self._proof(hello, self.role.other)):
            raise AuthenticationError("a wrong proof")
        if hello.target not in ("", own_vm):
            raise AuthenticationError(f"a greeting for {hello.target}")
        if hello.vm == own_vm:
            raise AuthenticationError("a greeting under our own name")
        return hello

    def _proof(self, hello: Hello, role: Role) -> bytes:
        nonces = (self.nonce, self.peer_nonce)
        if self.role is Role.SERVER:
            nonces = (self.peer_nonce, self.nonce)
        signed = b"".join((role.value, *nonces, encode(replace(hello, proof=b""))))
        return hmac.new(self.key, signed, hashlib.sha256).digest()
