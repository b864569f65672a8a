"""What settings name of each other, so that none is left pointing at nothing.

Each value provides some references (a class provides its name, a customer its token digests) and
needs others (a customer needs its classes). Two rules follow: a reference has at most one provider,
and what is needed stays provided. The fold applies them to the state at the change's own offset, so
every reader comes to the same answer.

The models and services in a customer's `classes` are not references: otherwise a team could keep
the operators of a service from ever removing it, by naming it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, TypeAlias

from turmericweir_core.records.settings_model import (
    Entry,
    Value,
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
    """What a reference names."""

    CLASS = "class"
    CUSTOMER = "customer"
    CUSTOMER_TOKEN = "customer token"
    SERVICE = "service"
    MODEL = "model"
    OPERATOR_TOKEN = "operator token"


@dataclass(frozen=True, slots=True)
class Ref:
    """Something that one setting provides and others may need."""

    kind: RefKind
    name: str

    def __str__(self) -> str:
        # Problems are kept in the history, and all of this in state dumps; whoever reads a token's
        # digest there could try guesses of the token against it.
        return self.kind if self.kind in _SECRET else f"{self.kind} {self.name!r}"


# What some value may need; the rest is only provided once, and its loss needs no search.
_NEEDABLE: Final = frozenset({RefKind.CLASS, RefKind.SERVICE, RefKind.MODEL})
_SECRET: Final = frozenset({RefKind.CUSTOMER_TOKEN, RefKind.OPERATOR_TOKEN})


@dataclass(frozen=True, slots=True)
class Need:
    """A field of a value that names something else."""

    field: str
    ref: Ref


# The path that provides each reference.
Providers: TypeAlias = dict[Ref, str]


def provided(path: SettingsPath, value: Value) -> frozenset[Ref]:
    """List what a value provides."""
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


def needed(path: SettingsPath, value: Value) -> list[Need]:
    """List what a value needs."""
    match path, value:
        case CustomerPath(), WrittenCustomer():
            return [
                Need(f"classes.{target}", Ref(RefKind.CLASS, name))
                for target, name in value.classes.items()
            ]
        case ServicePath(), WrittenService():
            return _needed_by_rules(value)
        case _, WrittenServer():
            return [Need("service", Ref(RefKind.SERVICE, value.service))]
        case ModelPath(name), WrittenModel():
            return [Need("", Ref(RefKind.MODEL, name))]
        case _:
            return []


def _needed_by_rules(value: WrittenService) -> list[Need]:
    return [
        Need(f"rules.{number}.service_class", Ref(RefKind.CLASS, rule.service_class))
        for number, rule in enumerate(value.rules)
        if rule.service_class is not None
    ]


def check_refs(
    entries: Mapping[str, Entry], providers: Providers, path: str, value: Value | None
) -> tuple[Problem, ...]:
    """List what would be left broken if a value, or nothing, stood under a path."""
    parsed = parse_path(path).unwrap()
    old = entries.get(path)
    before = provided(parsed, old.value) if old is not None else frozenset()
    after = provided(parsed, value) if value is not None else frozenset()
    needs = needed(parsed, value) if value is not None else []
    return (
        *_missing(providers, needs),
        *_taken(providers, path, after),
        *_still_needed(entries, path, before - after),
    )


def _missing(providers: Providers, needs: Iterable[Need]) -> Iterable[Problem]:
    for need in needs:
        if need.ref not in providers:
            expected = f"expected an existing {need.ref.kind}; there is no {need.ref}"
            yield Problem(need.field, expected)


def _taken(providers: Providers, path: str, refs: Iterable[Ref]) -> Iterable[Problem]:
    for ref in sorted(refs, key=lambda ref: (ref.kind, ref.name)):
        holder = providers.get(ref, path)
        if holder != path:
            yield Problem("", f"expected what is not set elsewhere; {ref} is set at {holder}")


def _still_needed(
    entries: Mapping[str, Entry], path: str, lost: frozenset[Ref]
) -> Iterable[Problem]:
    gone = {ref for ref in lost if ref.kind in _NEEDABLE}
    if not gone:
        return
    for other in sorted(entries):
        if other == path:
            continue
        for need in needed(parse_path(other).unwrap(), entries[other].value):
            if need.ref in gone:
                yield Problem("", f"{need.ref} is still used at {other}")


def index_providers(entries: Mapping[str, Entry]) -> Providers:
    """Index the provider of each reference."""
    return {
        ref: path
        for path, entry in entries.items()
        for ref in provided(parse_path(path).unwrap(), entry.value)
    }
