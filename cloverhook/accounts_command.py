"""The command `cloverhook accounts`: each client account's use over the gateways of a fleet.

Layer: transport.
"""

import asyncio
from urllib.parse import urlsplit

import aiohttp

from cloverhook.account_use import is_metrics_page, sum_accounts, to_table
from cloverhook.commands import Command, Context, ExitCode, Output, UsageError

__all__ = ["ACCOUNTS_COMMANDS"]

CALL_TIMEOUT_MS = 5_000
METRICS_PATH = "/metrics"


async def _accounts(context: Context, arguments: list[str]) -> Output:
    urls = {argument: _url_of(argument) for argument in arguments}
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_MS / 1000)
    pages: list[str] = []
    missing: dict[str, str] = {}
    async with aiohttp.ClientSession(timeout=timeout) as session:
        found = await asyncio.gather(
            *(_fetch(session, url) for url in urls.values()), return_exceptions=True
        )
    for argument, page in zip(urls, found, strict=True):
        if isinstance(page, (aiohttp.ClientError, TimeoutError, OSError, ValueError)):
            missing[argument] = str(page) or type(page).__name__
        elif isinstance(page, BaseException):
            raise page
        else:
            pages.append(page)
    uses = sum_accounts(pages)
    lines = [to_table(uses) if uses else "no gateway that answered has counted client accounts"]
    lines += [f"no metrics from {name}: {reason}" for name, reason in missing.items()]
    document = {"accounts": [use.to_document() for use in uses], "missing": missing}
    code = ExitCode.NOT_EVERYWHERE if missing else ExitCode.OK
    return Output(document, "\n".join(lines), code)


def _url_of(argument: str) -> str:
    """Return the URL of a metrics page.  Raises `UsageError` if there can't be one."""
    url = argument if "://" in argument else f"http://{argument}{METRICS_PATH}"
    try:
        parts = urlsplit(url)
        valid = parts.scheme == "http" and parts.hostname and parts.port is not None
    except ValueError:
        valid = False
    if not valid:
        raise UsageError(f"{argument!r}: expected ip:port or http://ip:port/path of a metrics page")
    return url


async def _fetch(session: aiohttp.ClientSession, url: str) -> str:
    async with session.get(url) as answer:
        answer.raise_for_status()
        page = await answer.text()
    if not is_metrics_page(page):
        raise ValueError("the page has no metrics of a gateway")
    return page


ACCOUNTS_COMMANDS = (
    Command(
        "accounts",
        ("URL...",),
        "Show each client account's use over the gateways with these metrics pages, worst first.",
        "cloverhook accounts 10.0.0.1:9100 10.0.0.2:9100",
        _accounts,
    ),
)
