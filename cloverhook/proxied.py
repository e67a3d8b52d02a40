"""The header by which a daemon shows that it has passed a request on.

Layer: protocol.  The receiver sends such a request to an endpoint itself, and doesn't claim its
idempotency key again.  So the header counts only with a proof by the daemons' shared key.

>>> header = proxied_header(b"key", "vm-1", "visit-3")
>>> proxied_by(b"key", [header], "visit-3"), proxied_by(b"other", [header], "visit-3")
('vm-1', '')
"""

import hashlib
import hmac

from cloverhook import headers as h

__all__ = ["proxied_by", "proxied_header"]

PURPOSE = b"proxied request"


def proxied_header(key: bytes, vm: str, request_id: str) -> tuple[bytes, bytes]:
    """Return the header for a request that a VM passes on."""
    return h.PROXIED, f"{vm} {_proof(key, vm, request_id)}".encode()


def proxied_by(key: bytes, headers: h.Headers, request_id: str) -> str:
    """Return the VM that has passed a request on; "" if a caller has sent it."""
    value = h.find(headers, h.PROXIED)
    if value is None:
        return ""
    vm, _, proof = value.decode("latin-1").partition(" ")
    expected = _proof(key, vm, request_id)
    return vm if hmac.compare_digest(proof.encode("latin-1"), expected.encode()) else ""


def _proof(key: bytes, vm: str, request_id: str) -> str:
    signed = b"\0".join((PURPOSE, vm.encode(), request_id.encode()))
    return hmac.new(key, signed, hashlib.sha256).hexdigest()
