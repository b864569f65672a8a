"""Accounts of finished requests, retained so that a caller can query them again.

The store is bounded by number and by age, so that a burst cannot exhaust the memory of an instance.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

from turmericweir_core.base.account import Account
from turmericweir_core.base.options import Options


class AccountStore(Struct):
    """The most recent accounts, oldest first."""

    entries: OrderedDict[str, tuple[float, Account]] = field(default_factory=OrderedDict)


def store_account(store: AccountStore, options: Options, now: float, account: Account) -> None:
    """Store an account, evicting the oldest ones if the store is full."""
    store.entries[account.request_id] = (now, account)
    while len(store.entries) > options.account_keep:
        store.entries.popitem(last=False)


def find_account(store: AccountStore, request_id: str) -> Account | None:
    """Return the account of a request that ended on this instance, or None."""
    entry = store.entries.get(request_id)
    return entry[1] if entry else None


def expire_accounts(store: AccountStore, options: Options, now: float) -> None:
    """Delete accounts that are past their retention time."""
    oldest_stored_at = now - options.account_keep_s
    while store.entries:
        request_id, (stored_at, _) = next(iter(store.entries.items()))
        if stored_at >= oldest_stored_at:
            return
        del store.entries[request_id]
