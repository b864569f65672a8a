"""Accounts of finished requests, kept a while so that a caller can ask again.

Bounded by number and by age, so that a rush cannot fill the memory of an instance.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

from turmericweir_core.base.account import Account
from turmericweir_core.base.options import Options


class AccountStore(Struct):
    """The newest accounts, oldest first."""

    entries: OrderedDict[str, tuple[float, Account]] = field(default_factory=OrderedDict)


def keep_account(store: AccountStore, options: Options, now: float, account: Account) -> None:
    """Keep an account, letting go of the oldest where the store is full."""
    store.entries[account.request_id] = (now, account)
    while len(store.entries) > options.account_keep:
        store.entries.popitem(last=False)


def find_account(store: AccountStore, request_id: str) -> Account | None:
    """Find the account of a request that ended on this instance."""
    entry = store.entries.get(request_id)
    return entry[1] if entry else None


def expire_accounts(store: AccountStore, options: Options, now: float) -> None:
    """Let go of accounts that are older than they are kept."""
    oldest_kept = now - options.account_keep_s
    while store.entries:
        request_id, (kept_at, _) = next(iter(store.entries.items()))
        if kept_at >= oldest_kept:
            return
        del store.entries[request_id]
