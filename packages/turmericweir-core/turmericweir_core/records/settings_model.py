"""Models of the values that operators write, and their conversion to a `Config`.

Each kind of path has one strict pydantic model: an unknown field or a number in quotes is an error.
Consistency with other settings is checked in `settings_refs`, versions and permissions in
`settings_state`.

All instances must apply the same rules; otherwise their settings at the same offset differ, which
the hash in the heartbeats reveals.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, Final, Literal, Self, TypeAlias, assert_never

from msgspec.structs import replace
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
    model_validator,
)
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from turmericweir_core.base import config
from turmericweir_core.base.config import NO_LIMIT, Config, Limit, PlacementPolicy, ServiceKind
from turmericweir_core.base.ids import ServerName, Target
from turmericweir_core.records.settings_path import (
    ClassPath,
    CustomerPath,
    LimitPath,
    LimitScope,
    ModelPath,
    OperatorPath,
    PolicyPath,
    Problem,
    ServerPath,
    ServicePath,
    SettingsError,
    SettingsPath,
    TeamLimitPath,
    is_subtree,
    parse_path,
)

MS_PER_S: Final = 1000.0
POLICY_PATH: Final = "/policy"

Name = Annotated[str, StringConstraints(min_length=1, max_length=127)]
Digest = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Milliseconds = Annotated[float, Field(gt=0, le=86_400_000)]


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if "%" in host:
        raise ValueError("expected ip:port without a scope")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError("expected ip:port with an IP number") from None
    if not (port.isascii() and port.isdecimal()) or not 0 < int(port) < 65_536:
        raise ValueError("expected ip:port with a port from 1 to 65535")
    return text


def _check_granted_path(text: str) -> str:
    if not is_subtree(text):
        raise ValueError("expected '/' or the root of a subtree such as /teams/<team>")
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Subtree = Annotated[str, AfterValidator(_check_granted_path)]


class Written(BaseModel):
    """Base class of all values: strict, without unknown fields, and frozen."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class WrittenClass(Written):
    """A service class, with exactly one of the two targets."""

    # 0 is the most urgent tier.
    priority: int = Field(ge=0, le=99)
    # For classes of model requests: time to the first token.
    first_token_target_ms: Milliseconds | None = None
    # For classes of plain calls: time to the whole answer.
    latency_target_ms: Milliseconds | None = None
    token_gap_target_ms: Milliseconds | None = None
    # Deadline of requests that do not specify one.
    default_deadline_ms: Milliseconds = 60_000
    # Share of dispatched work that the class gets even under permanent overload.
    assured_share: float = Field(default=0.02, ge=0, le=0.5)

    @model_validator(mode="after")
    def _check_one_target(self) -> Self:
        if (self.first_token_target_ms is None) == (self.latency_target_ms is None):
            raise ValueError("expected one of first_token_target_ms and latency_target_ms")
        return self


class WrittenLimit(Written):
    """A rate limit; an omitted field means unlimited."""

    requests_s: float | None = Field(default=None, gt=0)
    tokens_s: float | None = Field(default=None, gt=0)


class WrittenCustomer(Written):
    """A customer."""

    # SHA-256 hex digests of its bearer tokens; several during the replacement of a token.
    token_sha256: list[Digest] = Field(default=[], max_length=32)
    # Class by model or plain service; "*" is the default.
    classes: dict[Name, Name] = Field(default={}, max_length=256)
    limit: WrittenLimit = WrittenLimit()
    # Its share of a class that has too little room, relative to other customers.
    weight: float = Field(default=1.0, gt=0.0, le=1000.0)


class WrittenRule(Written):
    """Handling of the matching calls of a plain service."""

    method: Annotated[str, StringConstraints(pattern=r"^(\*|[A-Z]{1,16})$")] = "*"
    path_prefix: Annotated[str, StringConstraints(pattern=r"^/", max_length=1024)] = "/"
    repeatable: bool = False
    service_class: Name | None = None


class WrittenService(Written):
    """A service."""

    kind: Literal["model", "plain"]
    models: list[Name] = Field(default=[], max_length=256)
    rules: list[WrittenRule] = Field(default=[], max_length=256)
    slots: int = Field(default=8, ge=1, le=65_536)
    checks_fence: bool = False

    @model_validator(mode="after")
    def _check_kind(self) -> Self:
        if self.kind == "model" and not self.models:
            raise ValueError("expected at least one model name in models for kind model")
        if self.kind == "model" and self.rules:
            raise ValueError("expected no rules for kind model: they are for plain services")
        if self.kind == "plain" and self.models:
            raise ValueError("expected no models for kind plain")
        return self


class WrittenServer(Written):
    """A backend server that the platform's list does not contain, or lists with wrong data."""

    service: Name
    data_centre: Name
    address: Address
    leaving: bool = False


class WrittenModel(Written):
    """The number of servers of a service that should have a model loaded."""

    version: Name = "1"
    min_servers: int = Field(default=1, ge=0, le=1_000_000)
    max_servers: int = Field(default=1_000_000, ge=1, le=1_000_000)

    @model_validator(mode="after")
    def _check_server_bounds(self) -> Self:
        if self.min_servers > self.max_servers:
            raise ValueError("expected min_servers to be at most max_servers")
        return self


class WrittenOperator(Written):
    """An operator: the digest of the token, and the subtrees that it may write."""

    token_sha256: Digest
    paths: list[Subtree] = Field(min_length=1, max_length=64)


class WrittenPolicy(Written):
    """The placement policy."""

    policy: Literal["baseline", "counts", "credits"]


SettingsValue: TypeAlias = (
    WrittenClass
    | WrittenLimit
    | WrittenCustomer
    | WrittenService
    | WrittenServer
    | WrittenModel
    | WrittenOperator
    | WrittenPolicy
)


@dataclass(frozen=True, slots=True)
class SettingsEntry:
    """The value of a path, and the accepted change that set it."""

    # The offset of that change's record, plus one.
    version: int
    value: SettingsValue
    operator: str
    # Seconds since the epoch by the clock of the instance that took the change; for display only.
    at: float
    # The written form of the value, cached for hashes and answers.
    written: dict[str, Any] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "written", written_form(self.value))


def value_model(path: SettingsPath) -> type[SettingsValue]:
    """Return the model of the values under a path."""
    match path:
        case ClassPath():
            return WrittenClass
        case CustomerPath():
            return WrittenCustomer
        case TeamLimitPath() | LimitPath():
            return WrittenLimit
        case ServicePath():
            return WrittenService
        case ServerPath():
            return WrittenServer
        case ModelPath():
            return WrittenModel
        case OperatorPath():
            return WrittenOperator
        case PolicyPath():
            return WrittenPolicy
    assert_never(path)


def read_value(path: str, raw: object) -> Result[SettingsValue, SettingsError]:
    """Return the validated value for a path, or the errors in it."""
    return parse_path(path).bind(lambda parsed: _validate_value(path, value_model(parsed), raw))


def _validate_value(
    path: str, model: type[SettingsValue], raw: object
) -> Result[SettingsValue, SettingsError]:
    try:
        return Success(model.model_validate(raw))
    except ValidationError as exc:
        return Failure(SettingsError(path, tuple(_problems(model, exc))))


def _problems(model: type[SettingsValue], exc: ValidationError) -> list[Problem]:
    problems = []
    for error in exc.errors(include_url=False, include_context=False, include_input=False):
        field = ".".join(str(part) for part in error["loc"])
        problems.append(Problem(field, _expected_text(model, error["type"], error["msg"])))
    return problems


def _expected_text(model: type[SettingsValue], kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "no such field; expected " + ", ".join(model.model_fields)
    if kind == "model_type":
        return "expected an object with " + ", ".join(model.model_fields)
    return validation_text(kind, message)


def validation_text(kind: str, message: str) -> str:
    """Return what was expected, in turmericweir's wording, for a validation error of pydantic."""
    if kind == "missing":
        return "expected this field, which is missing"
    if kind == "string_pattern_mismatch":
        return message.replace("String should match pattern", "expected text that matches")
    return message.removeprefix("Value error, ").replace("Input should be", "expected")


def written_form(value: SettingsValue) -> dict[str, Any]:
    """Return a value as JSON, with only the fields that the operator wrote.

    Numbers have the form of their field's type. Prevents `1` and `1.0`, which codecs may exchange,
    from having different hashes.
    """
    return value.model_dump(mode="json", exclude_unset=True)


# --- conversion of written values to a Config -------------------------------------------------


def read_config(raw: Mapping[str, object], offset: int = 0) -> Result[Config, list[SettingsError]]:
    """Return the `Config` of the raw values by path, each validated on its own, or all errors."""
    values: dict[str, SettingsValue] = {}
    errors: list[SettingsError] = []
    for path, value in raw.items():
        result = read_value(path, value)
        if is_successful(result):
            values[path] = result.unwrap()
        else:
            errors.append(result.failure())
    return Failure(errors) if errors else Success(build_config(values, offset))


def build_config(values: Mapping[str, SettingsValue], offset: int = 0) -> Config:
    """Return the `Config` of validated values by path, at an offset of the settings log."""
    new_config = Config(offset=offset, policy=_policy(values))
    caps: dict[LimitPath, Limit] = {}
    for text, value in values.items():
        path = parse_path(text).unwrap()
        if isinstance(path, LimitPath):
            assert isinstance(value, WrittenLimit)
            caps[path] = _limit(value)
        else:
            _add_value(new_config, path, value)
    _apply_limit_caps(new_config, caps)
    _add_lookups(new_config)
    return new_config


def _policy(values: Mapping[str, SettingsValue]) -> PlacementPolicy:
    value = values.get(POLICY_PATH)
    return (
        PlacementPolicy(value.policy)
        if isinstance(value, WrittenPolicy)
        else PlacementPolicy.COUNTS
    )


def _add_value(new_config: Config, path: SettingsPath, value: SettingsValue) -> None:
    match path, value:
        case ClassPath(name), WrittenClass():
            new_config.classes[name] = _class(name, value)
        case CustomerPath(name), WrittenCustomer():
            new_config.customers[name] = _customer(path, value)
        case TeamLimitPath(name), WrittenLimit():
            new_config.teams[name] = _limit(value)
        case ServicePath(name), WrittenService():
            new_config.services[name] = _service(name, value)
        case ServerPath(name), WrittenServer():
            new_config.servers[ServerName(name)] = _server(name, value)
        case ModelPath(name), WrittenModel():
            replicas = config.ModelReplicas(
                name, value.version, value.min_servers, value.max_servers
            )
            new_config.model_replicas[name] = replicas
        case OperatorPath(name), WrittenOperator():
            operator = config.Operator(name, value.token_sha256, tuple(value.paths))
            new_config.operators[name] = operator
        case PolicyPath(), WrittenPolicy():
            # Applied by `build_config`, as a `Config` is frozen.
            pass
        case _:
            # `value_model` determines the model of each path, which mypy cannot infer.
            raise AssertionError(f"unexpected value of type {type(value).__name__} for {path}")


def _class(name: str, value: WrittenClass) -> config.ServiceClass:
    target_ms = value.first_token_target_ms or value.latency_target_ms
    assert target_ms is not None
    gap_ms = value.token_gap_target_ms
    return config.ServiceClass(
        name=name,
        priority=value.priority,
        target_s=target_ms / MS_PER_S,
        token_gap_target_s=None if gap_ms is None else gap_ms / MS_PER_S,
        deadline_s=value.default_deadline_ms / MS_PER_S,
        assured_share=value.assured_share,
    )


def _customer(path: CustomerPath, value: WrittenCustomer) -> config.Customer:
    return config.Customer(
        name=path.customer,
        team=path.team,
        token_digests=tuple(value.token_sha256),
        classes=dict(value.classes),
        limit=_limit(value.limit),
        weight=value.weight,
    )


def _limit(value: WrittenLimit) -> Limit:
    return Limit(value.requests_s, value.tokens_s)


def _service(name: str, value: WrittenService) -> config.Service:
    rules = tuple(
        config.CallRule(rule.method, rule.path_prefix, rule.repeatable, rule.service_class)
        for rule in value.rules
    )
    return config.Service(
        name=name,
        kind=ServiceKind(value.kind),
        models=tuple(value.models),
        rules=rules,
        slots=value.slots,
        checks_fence=value.checks_fence,
    )


def _server(name: str, value: WrittenServer) -> config.ServerEntry:
    return config.ServerEntry(
        name=ServerName(name),
        service=value.service,
        data_centre=value.data_centre,
        address=value.address,
        leaving=value.leaving,
    )


def _apply_limit_caps(new_config: Config, caps: Mapping[LimitPath, Limit]) -> None:
    """Apply the limits of `/limits`, which can only tighten the limits of teams and customers."""
    if not caps:
        return
    default = caps.get(LimitPath(LimitScope.DEFAULT), NO_LIMIT)
    for name, customer in new_config.customers.items():
        customer_limit = default if customer.limit == NO_LIMIT else customer.limit
        cap = caps.get(LimitPath(LimitScope.CUSTOMER, name), NO_LIMIT)
        new_config.customers[name] = replace(customer, limit=_tighter_limit(customer_limit, cap))
    for path, cap in caps.items():
        if path.scope is LimitScope.TEAM:
            new_config.teams[path.name] = _tighter_limit(
                new_config.teams.get(path.name, NO_LIMIT), cap
            )


def _tighter_limit(one: Limit, other: Limit) -> Limit:
    return Limit(
        _lower_rate(one.requests_s, other.requests_s),
        _lower_rate(one.tokens_s, other.tokens_s),
    )


def _lower_rate(one: float | None, other: float | None) -> float | None:
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)


def _add_lookups(new_config: Config) -> None:
    for customer in new_config.customers.values():
        for digest in customer.token_digests:
            new_config.customers_by_token[digest] = customer
    for service in new_config.services.values():
        targets = service.models if service.kind is ServiceKind.MODEL else (service.name,)
        for target in targets:
            new_config.service_by_target[Target(target)] = service
