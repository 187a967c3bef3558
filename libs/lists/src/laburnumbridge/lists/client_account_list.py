"""Client accounts and their plans."""

from __future__ import annotations

from ipaddress import IPv4Network
from ipaddress import IPv6Network
from typing import Annotated

from pydantic import StringConstraints
from pydantic import model_validator

from laburnumbridge.lists.list_model import ListModel
from laburnumbridge.lists.service_list import Name
from laburnumbridge.lists.uniqueness import require_unique

Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class ClientAccount(ListModel):
    """A client account, recognised by the SHA-256 of its bearer token or by its source prefixes."""

    name: Name
    plan: Name
    token_sha256: Sha256 | None = None
    prefixes: tuple[IPv4Network | IPv6Network, ...] = ()

    @model_validator(mode="after")
    def _check(self) -> ClientAccount:
        if self.token_sha256 is None and not self.prefixes:
            raise ValueError("a client account needs token_sha256 or prefixes to be recognised")
        return self


class ClientAccountList(ListModel):
    """The value ``guests``; a client that isn't recognised is on ``default_plan``."""

    default_plan: Name
    guests: tuple[ClientAccount, ...] = ()

    @model_validator(mode="after")
    def _check(self) -> ClientAccountList:
        require_unique("guests.name", (client_account.name for client_account in self.guests))
        digests = (
            client_account.token_sha256
            for client_account in self.guests
            if client_account.token_sha256
        )
        require_unique("guests.token_sha256", digests)
        prefixes = (prefix for client_account in self.guests for prefix in client_account.prefixes)
        require_unique("guests.prefixes", prefixes)
        return self
