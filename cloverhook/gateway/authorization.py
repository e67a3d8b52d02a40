"""Decides from which client account a request comes, and whether it may be forwarded.

Layer: coordination.  Each request is judged by the configuration in force, also on an open
connection.  Endpoints get the name of the account and never the key.

>>> accounts = AccountIndex((ClientAccount("mill", (digest_of(b"k1"),)),))
>>> headers = [(b"authorization", b"Token k1"), (b"accept", b"*/*")]
>>> access = authorize(accounts, headers, CallHeaders())
>>> access.account.name, access.headers_for_endpoint(headers, CallHeaders())
('mill', [(b'accept', b'*/*'), (b'cloverhook-account', b'mill')])
"""

from dataclasses import dataclass

from cloverhook.gateway.accounts import AccountIndex, ClientAccount, digest_of
from cloverhook.gateway.call_headers import CallHeaders, HeaderList, end_to_end_headers

__all__ = ["NO_ACCOUNTS", "Access", "authorize"]


@dataclass(frozen=True, slots=True)
class Access:
    """The account of a request, if any, and the digest of the key that the caller has sent.

    `has_accounts` is whether the deployment has client accounts at all.
    """

    has_accounts: bool
    account: ClientAccount | None = None
    key_digest: bytes = b""

    def headers_for_endpoint(self, headers: HeaderList, names: CallHeaders) -> HeaderList:
        """Return a request's headers with the account in place of the key.

        Without client accounts, both headers belong to the caller and the endpoint and are kept.
        """
        if not self.has_accounts:
            return headers
        # The caller's `Connection` header may name the account header, which would then be dropped.
        kept = end_to_end_headers(headers, frozenset((names.authorization, names.account)))
        if self.account is not None:
            kept.append((names.account, self.account.name.encode()))
        return kept


NO_ACCOUNTS = Access(False)
"""The access of all requests in a deployment without client accounts."""


def authorize(
    accounts: AccountIndex | None,
    headers: HeaderList,
    names: CallHeaders,
    key_digest: bytes = b"",
) -> Access:
    """Find the account of a request.

    `key_digest` is given for a request that another gateway has passed on: it has removed the key.
    A request with several keys has no account, as it isn't clear who its caller is.
    """
    if accounts is None:
        return NO_ACCOUNTS
    if not key_digest:
        key = _key_of(headers, names)
        if key is None:
            return Access(True)
        key_digest = digest_of(key)
    return Access(True, accounts.find(key_digest), key_digest)


def _key_of(headers: HeaderList, names: CallHeaders) -> bytes | None:
    """Return the key in a request's headers; None if there isn't exactly one."""
    values = [value for name, value in headers if name == names.authorization]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    return key if key and scheme.lower() == names.key_scheme else None
