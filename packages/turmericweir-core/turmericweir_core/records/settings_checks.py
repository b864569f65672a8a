"""Checks of whole settings for what is valid but hardly meant.

Some values can never take effect (a rule behind a wider one, a customer without keys), others
contradict each other (shares of more than all there is, a limit above the one that holds). Neither
prevents a change, so the verdict on one does not depend on this module.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from turmericweir_core.records.settings_model import (
    SettingsValue,
    WrittenClass,
    WrittenCustomer,
    WrittenLimit,
    WrittenRule,
    WrittenService,
)
from turmericweir_core.records.settings_path import (
    ClassPath,
    CustomerPath,
    LimitPath,
    LimitScope,
    ServicePath,
    TeamLimitPath,
    parse_path,
)

_WILDCARD: Final = "*"
_ROUNDING: Final = 1e-9
_RATES: Final = ("requests_s", "tokens_s")


class FindingKind(StrEnum):
    """Why a value is hardly meant."""

    # It can never take effect.
    UNUSED = "unused"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True, slots=True)
class Finding:
    """One value that is hardly meant."""

    kind: FindingKind
    path: str
    # Position in the value, such as `rules.0`; empty for the value as a whole.
    field: str
    text: str


@dataclass(frozen=True, slots=True)
class _Customer:
    path: str
    team: str
    value: WrittenCustomer


@dataclass(slots=True)
class _Settings:
    """Validated values by kind and name."""

    classes: dict[str, WrittenClass] = field(default_factory=dict)
    customers: dict[str, _Customer] = field(default_factory=dict)
    services: dict[str, WrittenService] = field(default_factory=dict)
    # The limits that teams set for themselves, and those of `/limits`.
    teams: dict[str, WrittenLimit] = field(default_factory=dict)
    caps: dict[LimitPath, WrittenLimit] = field(default_factory=dict)

    def service_of(self, target: str) -> WrittenService | None:
        """Return the service of a model's name, or of a plain service's."""
        for name, service in self.services.items():
            if target in _targets(name, service):
                return service
        return None


def check_values(values: Mapping[str, SettingsValue]) -> list[Finding]:
    """Return all findings in validated values by path, in the order of the paths."""
    settings = _sort_values(values)
    findings = [finding for check in _CHECKS for finding in check(settings)]
    order = {path: number for number, path in enumerate(values)}
    return sorted(findings, key=lambda finding: order[finding.path])


def _sort_values(values: Mapping[str, SettingsValue]) -> _Settings:
    settings = _Settings()
    for text, value in values.items():
        match parse_path(text).unwrap(), value:
            case ClassPath(name), WrittenClass():
                settings.classes[name] = value
            case CustomerPath(name, team), WrittenCustomer():
                settings.customers[name] = _Customer(text, team, value)
            case ServicePath(name), WrittenService():
                settings.services[name] = value
            case TeamLimitPath(team), WrittenLimit():
                settings.teams[team] = value
            case LimitPath() as path, WrittenLimit():
                settings.caps[path] = value
            case _:
                # Nothing else is checked.
                pass
    return settings


def _targets(name: str, service: WrittenService) -> list[str]:
    return service.models if service.kind == "model" else [name]


# --- values that can never take effect ---------------------------------------------------------


def _customers_without_keys(settings: _Settings) -> Iterator[Finding]:
    for customer in settings.customers.values():
        if not customer.value.token_sha256:
            text = "there is no key, so no request can be from this customer"
            yield Finding(FindingKind.UNUSED, customer.path, "token_sha256", text)


def _targets_without_service(settings: _Settings) -> Iterator[Finding]:
    for customer in settings.customers.values():
        for target in customer.value.classes:
            if target != _WILDCARD and settings.service_of(target) is None:
                text = f"there is no model or plain service {target!r}"
                yield Finding(FindingKind.UNUSED, customer.path, f"classes.{target}", text)


def _services_without_callers(settings: _Settings) -> Iterator[Finding]:
    callers = [each.value for each in settings.customers.values() if each.value.token_sha256]
    for name, service in settings.services.items():
        targets = {*_targets(name, service), _WILDCARD}
        is_called = any(targets & set(caller.classes) for caller in callers)
        has_own_class = any(rule.service_class for rule in service.rules)
        if not is_called and not (callers and has_own_class):
            text = "no customer with a key has a class for it"
            yield Finding(FindingKind.UNUSED, f"/services/{name}", "", text)


def _classes_without_use(settings: _Settings) -> Iterator[Finding]:
    used = {name for each in settings.customers.values() for name in each.value.classes.values()}
    used |= {rule.service_class or "" for each in settings.services.values() for rule in each.rules}
    for name in settings.classes:
        if name not in used:
            text = "no customer and no rule names it"
            yield Finding(FindingKind.UNUSED, f"/classes/{name}", "", text)


def _shadowed_rules(settings: _Settings) -> Iterator[Finding]:
    for name, service in settings.services.items():
        for number, rule in enumerate(service.rules):
            earlier = _first_wider(service.rules[:number], rule)
            if earlier is not None:
                text = f"rule {earlier} comes first and matches all of its calls"
                yield Finding(FindingKind.UNUSED, f"/services/{name}", f"rules.{number}", text)


def _first_wider(rules: Iterable[WrittenRule], rule: WrittenRule) -> int | None:
    for number, other in enumerate(rules):
        has_method = other.method in (_WILDCARD, rule.method)
        if has_method and rule.path_prefix.startswith(other.path_prefix):
            return number
    return None


def _limits_without_subject(settings: _Settings) -> Iterator[Finding]:
    teams = {each.team for each in settings.customers.values()}
    for team in settings.teams:
        if team not in teams:
            yield _no_subject(f"/teams/{team}/limit", f"team {team!r} has no customers")
    for path in settings.caps:
        match path.scope:
            case LimitScope.TEAM if path.name not in teams:
                yield _no_subject(_cap_path(path), f"team {path.name!r} has no customers")
            case LimitScope.CUSTOMER if path.name not in settings.customers:
                yield _no_subject(_cap_path(path), f"there is no customer {path.name!r}")
            case LimitScope.DEFAULT if settings.customers and not _without_limit(settings):
                yield _no_subject(_cap_path(path), "every customer has a limit of its own")
            case _:
                pass


def _without_limit(settings: _Settings) -> bool:
    return any(each.value.limit == WrittenLimit() for each in settings.customers.values())


def _no_subject(path: str, text: str) -> Finding:
    return Finding(FindingKind.UNUSED, path, "", text)


def _cap_path(path: LimitPath) -> str:
    return f"/limits/{path.scope}:{path.name}" if path.name else f"/limits/{path.scope}"


# --- values that contradict each other ---------------------------------------------------------


def _shares_over_the_whole(settings: _Settings) -> Iterator[Finding]:
    reported: set[str] = set()
    for name, service in settings.services.items():
        for target in _targets(name, service):
            names = sorted(_classes_of(settings, service, target) & set(settings.classes))
            share = sum(settings.classes[each].assured_share for each in names)
            if share <= 1 + _ROUNDING:
                continue
            text = f"classes of {target!r} are assured {share:g} of it: {', '.join(names)}"
            for each in names:
                if each not in reported:
                    path = f"/classes/{each}"
                    yield Finding(FindingKind.CONTRADICTION, path, "assured_share", text)
            reported.update(names)


def _classes_of(settings: _Settings, service: WrittenService, target: str) -> set[str]:
    """Return the names of the classes that requests for a target may have."""
    names = {rule.service_class for rule in service.rules if rule.service_class}
    for customer in settings.customers.values():
        classes = customer.value.classes
        name = classes.get(target) or classes.get(_WILDCARD)
        if name:
            names.add(name)
    return names


def _deadlines_before_targets(settings: _Settings) -> Iterator[Finding]:
    for name, value in settings.classes.items():
        deadline_ms = value.default_deadline_ms
        for field_name in ("first_token_target_ms", "latency_target_ms", "token_gap_target_ms"):
            target_ms = getattr(value, field_name)
            if target_ms is not None and deadline_ms < target_ms:
                text = f"{deadline_ms:g} is over before {field_name}, {target_ms:g}"
                path = f"/classes/{name}"
                yield Finding(FindingKind.CONTRADICTION, path, "default_deadline_ms", text)


def _classes_of_another_kind(settings: _Settings) -> Iterator[Finding]:
    for customer in settings.customers.values():
        for target, name in customer.value.classes.items():
            service = settings.service_of(target)
            text = _kind_error(settings, service, name)
            if text:
                field_name = f"classes.{target}"
                yield Finding(FindingKind.CONTRADICTION, customer.path, field_name, text)
    for service_name, service in settings.services.items():
        for number, rule in enumerate(service.rules):
            text = _kind_error(settings, service, rule.service_class or "")
            if text:
                path, field_name = f"/services/{service_name}", f"rules.{number}.service_class"
                yield Finding(FindingKind.CONTRADICTION, path, field_name, text)


def _kind_error(settings: _Settings, service: WrittenService | None, name: str) -> str:
    value = settings.classes.get(name)
    if service is None or value is None:
        return ""
    is_for_models = value.first_token_target_ms is not None
    if is_for_models == (service.kind == "model"):
        return ""
    return f"class {name!r} is for {'models' if is_for_models else 'plain services'}"


def _limits_above_others(settings: _Settings) -> Iterator[Finding]:
    caps = settings.caps
    for customer_name, customer in settings.customers.items():
        limit = customer.value.limit
        cap = caps.get(LimitPath(LimitScope.CUSTOMER, customer_name))
        yield from _rates_above(customer.path, "limit.", limit, cap, "the one in /limits")
        team_limit = settings.teams.get(customer.team)
        yield from _rates_above(customer.path, "limit.", limit, team_limit, "the team's")
        team_cap = caps.get(LimitPath(LimitScope.TEAM, customer.team))
        yield from _rates_above(customer.path, "limit.", limit, team_cap, "the team's in /limits")
    for team, limit in settings.teams.items():
        cap = caps.get(LimitPath(LimitScope.TEAM, team))
        yield from _rates_above(f"/teams/{team}/limit", "", limit, cap, "the one in /limits")


def _rates_above(
    path: str, prefix: str, limit: WrittenLimit, other: WrittenLimit | None, whose: str
) -> Iterator[Finding]:
    if other is None:
        return
    for name in _RATES:
        rate, other_rate = getattr(limit, name), getattr(other, name)
        if rate is not None and other_rate is not None and rate > other_rate:
            text = f"{rate:g} is never reached: {whose} is {other_rate:g}"
            yield Finding(FindingKind.CONTRADICTION, path, f"{prefix}{name}", text)


_CHECKS: Final[tuple[Callable[[_Settings], Iterator[Finding]], ...]] = (
    _customers_without_keys,
    _targets_without_service,
    _services_without_callers,
    _classes_without_use,
    _shadowed_rules,
    _limits_without_subject,
    _shares_over_the_whole,
    _deadlines_before_targets,
    _classes_of_another_kind,
    _limits_above_others,
)
