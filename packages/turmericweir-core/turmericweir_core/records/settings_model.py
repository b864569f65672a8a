"""What operators may write under each path, and how it becomes the `Config` of the decisions.

A written value is validated by one pydantic model for its kind of path, strictly: an unknown field
or a number in quotes is refused rather than guessed at. Whether a value fits the other settings
(`settings_refs`) and whether it comes in time (`settings_state`) is decided elsewhere.

These rules are part of what all instances agree on: an instance that refused what another takes
would hold other settings at the same offset. The hash in the heartbeats shows such a difference.
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
from turmericweir_core.base.config import NO_LIMIT, Config, Kind, Limit, Policy
from turmericweir_core.base.ids import ServerName, Target
from turmericweir_core.records.settings_path import (
    ClassPath,
    CustomerPath,
    LimitPath,
    ModelPath,
    OperatorPath,
    PolicyPath,
    Problem,
    Scope,
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


def _is_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError("expected ip:port with an IP number") from None
    if not (port.isascii() and port.isdecimal()) or not 0 < int(port) < 65_536:
        raise ValueError("expected ip:port with a port from 1 to 65535")
    return text


def _is_granted_path(text: str) -> str:
    if not is_subtree(text):
        raise ValueError("expected '/' or the root of a subtree such as /teams/<team>")
    return text


Address = Annotated[str, AfterValidator(_is_address)]
Subtree = Annotated[str, AfterValidator(_is_granted_path)]


class Written(BaseModel):
    """The base of all values: strict, closed and frozen."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class WrittenClass(Written):
    """A service class. Exactly one of the two targets is given."""

    # 0 is the most urgent tier.
    priority: int = Field(ge=0, le=99)
    # For classes of model requests: time to the first token.
    first_token_target_ms: Milliseconds | None = None
    # For classes of plain calls: time to the whole answer.
    latency_target_ms: Milliseconds | None = None
    token_gap_target_ms: Milliseconds | None = None
    # Given to requests that bring no deadline.
    default_deadline_ms: Milliseconds = 60_000
    # The share that the class gets even under endless overload.
    assured_share: float = Field(default=0.02, ge=0, le=0.5)

    @model_validator(mode="after")
    def _one_target(self) -> Self:
        if (self.first_token_target_ms is None) == (self.latency_target_ms is None):
            raise ValueError("expected one of first_token_target_ms and latency_target_ms")
        return self


class WrittenLimit(Written):
    """A rate limit; a field left out does not bound."""

    requests_s: float | None = Field(default=None, gt=0)
    tokens_s: float | None = Field(default=None, gt=0)


class WrittenCustomer(Written):
    """A customer."""

    # SHA-256 hex digests of its bearer tokens; several while a token is being replaced.
    token_sha256: list[Digest] = Field(default=[], max_length=32)
    # Class by model or plain service; "*" for all others.
    classes: dict[Name, Name] = Field(default={}, max_length=256)
    limit: WrittenLimit = WrittenLimit()


class WrittenRule(Written):
    """What holds for the calls of a plain service that match."""

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
    def _fits_kind(self) -> Self:
        if self.kind == "model" and not self.models:
            raise ValueError("expected at least one model name in models for kind model")
        if self.kind == "model" and self.rules:
            raise ValueError("expected no rules for kind model: they are for plain services")
        if self.kind == "plain" and self.models:
            raise ValueError("expected no models for kind plain")
        return self


class WrittenServer(Written):
    """A backend server that the platform's list does not name, or names wrongly."""

    service: Name
    data_centre: Name
    address: Address
    leaving: bool = False


class WrittenModel(Written):
    """How many servers of a service should hold a model."""

    version: Name = "1"
    min_servers: int = Field(default=1, ge=0, le=1_000_000)
    max_servers: int = Field(default=1_000_000, ge=1, le=1_000_000)

    @model_validator(mode="after")
    def _in_order(self) -> Self:
        if self.min_servers > self.max_servers:
            raise ValueError("expected min_servers to be at most max_servers")
        return self


class WrittenOperator(Written):
    """An operator: the digest of the token, and the subtrees that may be written with it."""

    token_sha256: Digest
    paths: list[Subtree] = Field(min_length=1, max_length=64)


class WrittenPolicy(Written):
    """How servers are picked."""

    policy: Literal["baseline", "counts", "credits"]


Value: TypeAlias = (
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
class Entry:
    """What stands under a path, and the accepted change that put it there."""

    # The offset of that change's record, plus one.
    version: int
    value: Value
    operator: str
    # Seconds since the epoch by the clock of whoever made the change; shown, never compared.
    at: float
    # The written form of the value; derived, and kept as hashes and answers need it often.
    written: dict[str, Any] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "written", written_form(self.value))


def model_of(path: SettingsPath) -> type[Value]:
    """Name the model of the values under a path."""
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


def read_value(path: str, raw: object) -> Result[Value, SettingsError]:
    """Validate what an operator wrote under a path."""
    return parse_path(path).bind(lambda parsed: _read(path, model_of(parsed), raw))


def _read(path: str, model: type[Value], raw: object) -> Result[Value, SettingsError]:
    try:
        return Success(model.model_validate(raw))
    except ValidationError as exc:
        return Failure(SettingsError(path, tuple(_problems(model, exc))))


def _problems(model: type[Value], exc: ValidationError) -> list[Problem]:
    problems = []
    for error in exc.errors(include_url=False, include_context=False, include_input=False):
        field = ".".join(str(part) for part in error["loc"])
        problems.append(Problem(field, _expected(model, error["type"], error["msg"])))
    return problems


def _expected(model: type[Value], kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "no such field; expected " + ", ".join(model.model_fields)
    if kind == "model_type":
        return "expected an object with " + ", ".join(model.model_fields)
    return explain(kind, message)


def explain(kind: str, message: str) -> str:
    """Say what was expected, in the words of this project, for an error of the validation."""
    if kind == "missing":
        return "expected this field, which is missing"
    if kind == "string_pattern_mismatch":
        return message.replace("String should match pattern", "expected text that matches")
    return message.removeprefix("Value error, ").replace("Input should be", "expected")


def written_form(value: Value) -> dict[str, Any]:
    """Give a value back as JSON, with the fields that the operator wrote and no others.

    Numbers come out in the form of their field's type, so that `1` and `1.0` give the same hash
    whichever of the two a codec on the way made of it.
    """
    return value.model_dump(mode="json", exclude_unset=True)


# --- from written values to the Config of the decisions --------------------------------------


def read_config(raw: Mapping[str, object], offset: int = 0) -> Result[Config, list[SettingsError]]:
    """Validate values by path, each on its own, and build the `Config` of them."""
    values: dict[str, Value] = {}
    errors: list[SettingsError] = []
    for path, value in raw.items():
        result = read_value(path, value)
        if is_successful(result):
            values[path] = result.unwrap()
        else:
            errors.append(result.failure())
    return Failure(errors) if errors else Success(build_config(values, offset))


def build_config(values: Mapping[str, Value], offset: int = 0) -> Config:
    """Build the `Config` of validated values by path, at an offset of the settings log."""
    built = Config(offset=offset, policy=_policy(values))
    caps: dict[LimitPath, Limit] = {}
    for text, value in values.items():
        path = parse_path(text).unwrap()
        if isinstance(path, LimitPath):
            assert isinstance(value, WrittenLimit)
            caps[path] = _limit(value)
        else:
            _put(built, path, value)
    _apply_caps(built, caps)
    _index(built)
    return built


def _policy(values: Mapping[str, Value]) -> Policy:
    value = values.get(POLICY_PATH)
    return Policy(value.policy) if isinstance(value, WrittenPolicy) else Policy.COUNTS


def _put(built: Config, path: SettingsPath, value: Value) -> None:
    match path, value:
        case ClassPath(name), WrittenClass():
            built.classes[name] = _class(name, value)
        case CustomerPath(name), WrittenCustomer():
            built.customers[name] = _customer(path, value)
        case TeamLimitPath(name), WrittenLimit():
            built.teams[name] = _limit(value)
        case ServicePath(name), WrittenService():
            built.services[name] = _service(name, value)
        case ServerPath(name), WrittenServer():
            built.servers[ServerName(name)] = _server(name, value)
        case ModelPath(name), WrittenModel():
            want = config.ModelWant(name, value.version, value.min_servers, value.max_servers)
            built.wants[name] = want
        case OperatorPath(name), WrittenOperator():
            operator = config.Operator(name, value.token_sha256, tuple(value.paths))
            built.operators[name] = operator
        case PolicyPath(), WrittenPolicy():
            # `build_config` read it first, since a `Config` is frozen.
            pass
        case _:
            # The checker cannot know that `model_of` paired each path with its model.
            raise AssertionError(f"no value of {type(value).__name__} belongs under {path}")


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
        kind=Kind(value.kind),
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


def _apply_caps(built: Config, caps: Mapping[LimitPath, Limit]) -> None:
    """Apply the limits of `/limits`: a team's own setting can tighten them, never loosen them."""
    if not caps:
        return
    default = caps.get(LimitPath(Scope.DEFAULT), NO_LIMIT)
    for name, customer in built.customers.items():
        own = default if customer.limit == NO_LIMIT else customer.limit
        cap = caps.get(LimitPath(Scope.CUSTOMER, name), NO_LIMIT)
        built.customers[name] = replace(customer, limit=_tighter(own, cap))
    for path, cap in caps.items():
        if path.scope is Scope.TEAM:
            built.teams[path.name] = _tighter(built.teams.get(path.name, NO_LIMIT), cap)


def _tighter(one: Limit, other: Limit) -> Limit:
    return Limit(
        _least(one.requests_s, other.requests_s),
        _least(one.tokens_s, other.tokens_s),
    )


def _least(one: float | None, other: float | None) -> float | None:
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)


def _index(built: Config) -> None:
    for customer in built.customers.values():
        for digest in customer.token_digests:
            built.customers_by_token[digest] = customer
    for service in built.services.values():
        targets = service.models if service.kind is Kind.MODEL else (service.name,)
        for target in targets:
            built.service_by_target[Target(target)] = service
