"""Lookup of the client account and the plan of a connection or request."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256
from ipaddress import ip_address
from ipaddress import ip_network
from typing import TYPE_CHECKING

from laburnumbridge.core import ClientAccountName
from laburnumbridge.core import PlanName

if TYPE_CHECKING:
    from ipaddress import IPv4Network
    from ipaddress import IPv6Network

    from laburnumbridge.lists.client_account_list import ClientAccount
    from laburnumbridge.lists.client_account_list import ClientAccountList

_BEARER = "bearer "


@dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """Client account and plan of a client.

    ``client_account`` is None for a client on the default plan.
    """

    client_account: ClientAccountName | None
    plan: PlanName


class ClientAccountDirectory:
    """Looks client accounts up by token, then by the longest matching source prefix."""

    def __init__(self, *, client_accounts: ClientAccountList) -> None:
        self._default_identity = Identity(
            client_account=None, plan=PlanName(client_accounts.default_plan)
        )
        self._by_digest: dict[str, Identity] = {}
        self._by_prefix: dict[IPv4Network | IPv6Network, Identity] = {}
        for client_account in client_accounts.guests:
            self._add(client_account)
        lengths = {(prefix.version, prefix.prefixlen) for prefix in self._by_prefix}
        self._prefix_lengths = sorted(lengths, reverse=True)

    def find(self, *, authorization: str | None, source: str) -> Identity:
        """Return the identity for an ``Authorization`` value and a source IP address.

        Without a matching token or prefix this is the default plan without a client account.
        """
        if authorization and authorization.lower().startswith(_BEARER):
            token = authorization[len(_BEARER) :].strip()
            identity = self._by_digest.get(sha256(token.encode()).hexdigest())
            if identity is not None:
                return identity
        return self._find_by_prefix(source)

    def _add(self, client_account: ClientAccount) -> None:
        identity = Identity(
            client_account=ClientAccountName(client_account.name),
            plan=PlanName(client_account.plan),
        )
        if client_account.token_sha256 is not None:
            self._by_digest[client_account.token_sha256] = identity
        for prefix in client_account.prefixes:
            self._by_prefix[prefix] = identity

    def _find_by_prefix(self, source: str) -> Identity:
        source_version = ip_address(source).version
        for prefix_version, length in self._prefix_lengths:
            if prefix_version != source_version:
                continue
            network = ip_network(f"{source}/{length}", strict=False)
            identity = self._by_prefix.get(network)
            if identity is not None:
                return identity
        return self._default_identity
