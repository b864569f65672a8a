"""Settings: records of the log, or one document with the proof that it is the newest."""

from __future__ import annotations

from typing import Any

from msgspec import Struct


class SettingsAsk(Struct, frozen=True, array_like=True):
    """Requests the settings records from this offset."""

    offset: int


class SettingsSend(Struct, frozen=True, array_like=True):
    """Settings records from an offset, or a whole state if the records have expired."""

    first: int
    records: list[Any] = []
    # A snapshot record as in the log, or None.
    snapshot: dict[str, Any] | None = None


class DocumentAsk(Struct, frozen=True, array_like=True):
    """Requests a newer settings document and the proof that it is the newest."""

    version: int
    # Identifies this request in the answer.
    request_number: int
    # Whether the sender can read a packed document.
    can_unpack: bool = False


class DocumentSend(Struct, frozen=True, array_like=True):
    """The settings document, as the operator wrote it."""

    version: int
    raw: bytes
    # Whether `raw` is packed, see `store/document_packing`.
    is_packed: bool = False


class DocumentProof(Struct, frozen=True, array_like=True):
    """Proof that no newer version was in force `age_s` ago."""

    version: int
    # Number of the request that this answers.
    request_number: int
    age_s: float
    # The newest era of the store that the sender knows to be settled.
    era: int = 0
