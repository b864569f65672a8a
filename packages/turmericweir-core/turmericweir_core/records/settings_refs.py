"""References between settings, and the check that none of them is left dangling.

Each value provides some references (a class provides its name, a customer its token digests) and
needs others (a customer needs its classes). A reference has at most one provider, and a needed one
cannot be removed. The rules are applied to the state at the change's own offset, which gives every
reader the same result.

The models and services in a customer's `classes` are not references: otherwise a team could prevent
the removal of a service by naming it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, TypeAlias

from turmericweir_core.records.settings_model import (
    SettingsEntry,
    SettingsValue,
    WrittenClass,
    WrittenCustomer,
    WrittenModel,
    WrittenOperator,
    WrittenServer,
    WrittenService,
)
from turmericweir_core.records.settings_path import (
    ClassPath,
    CustomerPath,
    ModelPath,
    OperatorPath,
    Problem,
    ServicePath,
    SettingsPath,
    parse_path,
)


class RefKind(StrEnum):
    """The kind of thing that a reference names."""

    CLASS = "class"
    CUSTOMER = "customer"
    CUSTOMER_TOKEN = "customer token"
    SERVICE = "service"
    MODEL = "model"
    OPERATOR_TOKEN = "operator token"


@dataclass(frozen=True, slots=True)
class Ref:
    """A name that one setting provides and others may need."""

    kind: RefKind
    name: str

    def __str__(self) -> str:
        # Prevents token digests from appearing in the history and in state dumps, where they would
        # allow attempts to guess the token.
        return self.kind if self.kind in _SECRET_KINDS else f"{self.kind} {self.name!r}"


# Kinds that other values may need; the others are only checked for a second provider.
_NEEDABLE_KINDS: Final = frozenset({RefKind.CLASS, RefKind.SERVICE, RefKind.MODEL})
_SECRET_KINDS: Final = frozenset({RefKind.CUSTOMER_TOKEN, RefKind.OPERATOR_TOKEN})


@dataclass(frozen=True, slots=True)
class RequiredRef:
    """A field of a value that refers to another setting."""

    field: str
    ref: Ref


# The path that provides each reference.
Providers: TypeAlias = dict[Ref, str]


def provided_refs(path: SettingsPath, value: SettingsValue) -> frozenset[Ref]:
    """Return the references that a value provides."""
    match path, value:
        case ClassPath(name), WrittenClass():
            return frozenset({Ref(RefKind.CLASS, name)})
        case CustomerPath(name), WrittenCustomer():
            tokens = (Ref(RefKind.CUSTOMER_TOKEN, digest) for digest in value.token_sha256)
            return frozenset({Ref(RefKind.CUSTOMER, name), *tokens})
        case ServicePath(name), WrittenService():
            models = (Ref(RefKind.MODEL, model) for model in value.models)
            return frozenset({Ref(RefKind.SERVICE, name), *models})
        case OperatorPath(), WrittenOperator():
            return frozenset({Ref(RefKind.OPERATOR_TOKEN, value.token_sha256)})
        case _:
            return frozenset()


def required_refs(path: SettingsPath, value: SettingsValue) -> list[RequiredRef]:
    """Return the references that a value needs."""
    match path, value:
        case CustomerPath(), WrittenCustomer():
            return [
                RequiredRef(f"classes.{target}", Ref(RefKind.CLASS, name))
                for target, name in value.classes.items()
            ]
        case ServicePath(), WrittenService():
            return _refs_of_rules(value)
        case _, WrittenServer():
            return [RequiredRef("service", Ref(RefKind.SERVICE, value.service))]
        case ModelPath(name), WrittenModel():
            return [RequiredRef("", Ref(RefKind.MODEL, name))]
        case _:
            return []


def _refs_of_rules(value: WrittenService) -> list[RequiredRef]:
    return [
        RequiredRef(f"rules.{number}.service_class", Ref(RefKind.CLASS, rule.service_class))
        for number, rule in enumerate(value.rules)
        if rule.service_class is not None
    ]


def check_refs(
    entries: Mapping[str, SettingsEntry],
    providers: Providers,
    path: str,
    value: SettingsValue | None,
) -> tuple[Problem, ...]:
    """Return the problems that setting a path to a value, or removing it, would cause."""
    parsed = parse_path(path).unwrap()
    old = entries.get(path)
    before = provided_refs(parsed, old.value) if old is not None else frozenset()
    after = provided_refs(parsed, value) if value is not None else frozenset()
    needs = required_refs(parsed, value) if value is not None else []
    return (
        *_missing_refs(providers, needs),
        *_refs_set_elsewhere(providers, path, after),
        *_refs_still_needed(entries, path, before - after),
    )


def _missing_refs(providers: Providers, needs: Iterable[RequiredRef]) -> Iterable[Problem]:
    for need in needs:
        if need.ref not in providers:
            expected = f"expected an existing {need.ref.kind}; there is no {need.ref}"
            yield Problem(need.field, expected)


def _refs_set_elsewhere(providers: Providers, path: str, refs: Iterable[Ref]) -> Iterable[Problem]:
    for ref in sorted(refs, key=lambda ref: (ref.kind, ref.name)):
        holder = providers.get(ref, path)
        if holder != path:
            yield Problem("", f"expected what is not set elsewhere; {ref} is set at {holder}")


def _refs_still_needed(
    entries: Mapping[str, SettingsEntry], path: str, removed_refs: frozenset[Ref]
) -> Iterable[Problem]:
    lost_refs = {ref for ref in removed_refs if ref.kind in _NEEDABLE_KINDS}
    if not lost_refs:
        return
    for other in sorted(entries):
        if other == path:
            continue
        for need in required_refs(parse_path(other).unwrap(), entries[other].value):
            if need.ref in lost_refs:
                yield Problem("", f"{need.ref} is still used at {other}")


def index_providers(entries: Mapping[str, SettingsEntry]) -> Providers:
    """Return the path that provides each reference."""
    return {
        ref: path
        for path, entry in entries.items()
        for ref in provided_refs(parse_path(path).unwrap(), entry.value)
    }
