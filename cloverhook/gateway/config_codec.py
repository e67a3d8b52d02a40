"""The encoded configuration that peers exchange: encoded once and forwarded unchanged.

Layer: state.  A VM that has received a configuration forwards the same bytes to others, even while
it is still decoding them itself.  Decoding runs in steps, so that it doesn't block an event loop
that also serves requests.

>>> config = GatewayConfig.from_document({"version": 4, "routes": []})
>>> encoded = EncodedConfig.from_config(config)
>>> encoded.version, [step for step in encoded.decode()][-1] == config
(4, True)
"""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import cbor2

from cloverhook.errors import MessageError
from cloverhook.gateway.routes import GatewayConfig

__all__ = ["EncodedConfig"]

MAX_DECODED_BYTES = 256 * 1024 * 1024
"""Without this limit, a few bytes could decompress to so many that memory runs out."""


@dataclass(frozen=True, slots=True)
class EncodedConfig:
    """An encoded configuration (compressed CBOR) and its version."""

    version: int
    data: bytes

    @classmethod
    def from_config(cls, config: GatewayConfig) -> "EncodedConfig":
        """Encode a configuration."""
        return cls(config.version, zlib.compress(cbor2.dumps(config.to_document())))

    def decode(self) -> Iterator[GatewayConfig | None]:
        """Decode in steps: yield None after each step, and the configuration as the last item.

        Raises `MessageError` if the bytes are no valid configuration, or one of another version.
        """
        try:
            decompressor = zlib.decompressobj()
            document = cbor2.loads(decompressor.decompress(self.data, MAX_DECODED_BYTES))
        except (zlib.error, cbor2.CBORError, RecursionError) as error:
            raise MessageError(f"configuration can't be decoded: {error!r}") from error
        yield None
        for config in GatewayConfig.iter_from_document(document):
            if config is not None and config.version != self.version:
                raise MessageError(f"configuration has an unexpected version: {config.version}")
            yield config
