"""The log format: text as absl writes it, or one JSON object per line.

Layer: state.  Every log message is a short sentence after a fixed prefix that names the part of the
daemon, such as "peering: authentication of a peer failed."  The JSON format gives the prefix as
`part`.
"""

import json
import logging as std_logging

from absl import logging

from cloverhook.errors import Fault, SettingsError

__all__ = ["LOG_FORMATS", "JsonFormatter", "configure_logs"]

LOG_FORMATS = ("text", "json")
UNKNOWN_PART = "other"


class JsonFormatter(std_logging.Formatter):
    """Formats a log record as a JSON object on one line."""

    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: std_logging.LogRecord) -> str:
        """Return a record's line.  The part is "other" if the message has no prefix."""
        message = record.getMessage()
        part, colon, sentence = message.partition(": ")
        has_part = bool(colon) and part.isidentifier()
        line = {
            "time_ms": round(record.created * 1000),
            "level": record.levelname.lower(),
            "vm": self._vm,
            "part": part if has_part else UNKNOWN_PART,
            "message": sentence if has_part else message,
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure_logs(log_format: str, vm: str) -> None:
    """Set the log format.  Raises `SettingsError` if it is unknown."""
    if log_format not in LOG_FORMATS:
        allowed = f"one of: {', '.join(LOG_FORMATS)}"
        raise SettingsError((Fault("log_format", repr(log_format), allowed),))
    if log_format == "json":
        logging.get_absl_handler().setFormatter(JsonFormatter(vm))
