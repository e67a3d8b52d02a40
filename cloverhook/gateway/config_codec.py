"""The form in which peers hand on a configuration: bytes that are made once and passed on as is.

Layer: state.  A VM that has received a configuration sends the same bytes to others, also while
it still decodes them itself.  Decoding goes in steps, so that a loop that also serves is not held.

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

LARGEST_BYTES = 256 * 1024 * 1024
"""A few bytes could else be unpacked to fill the memory."""


@dataclass(frozen=True, slots=True)
class EncodedConfig:
    """A configuration of a version, as bytes."""

    version: int
    data: bytes

    @classmethod
    def from_config(cls, config: GatewayConfig) -> "EncodedConfig":
        """Encode a configuration."""
        return cls(config.version, zlib.compress(cbor2.dumps(config.to_document())))

    def decode(self) -> Iterator[GatewayConfig | None]:
        """Decode step by step: yields None after each step, and at the end the configuration.

        Raises `MessageError` for what is none, or of another version.
        """
        try:
            unpacker = zlib.decompressobj()
            document = cbor2.loads(unpacker.decompress(self.data, LARGEST_BYTES))
        except (zlib.error, cbor2.CBORError, RecursionError) as error:
            raise MessageError(f"a configuration: {error!r}") from error
        yield None
        for config in GatewayConfig.iter_from_document(document):
            if config is not None and config.version != self.version:
                raise MessageError(f"a configuration of version {config.version}")
            yield config
