"""Validate a caller's HTTP request and build the core's `Request` from it.

A malformed request is refused here with a 4xx status, before it is queued or sent to a server.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final

import anyio
import orjson
import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmericweir.answers.caller_refusal import RefusedError
from turmericweir.process.foreign_data import parse_count
from turmericweir.servers.backend_service import PlainCall, forwarded_headers
from turmericweir_core.base.config import (
    CallRule,
    Config,
    Customer,
    Service,
    ServiceClass,
    ServiceKind,
)
from turmericweir_core.base.ids import RequestId, Target
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.base.shared_parts import hash_shared_parts

# A prompt's prefixes are hashed at the end of each message and at each multiple of this length
# within a message, which detects prefixes that end within a message.
PREFIX_STEP_CHARS: Final = 512
# The maximum number of prefixes that are recorded for a prompt.
PREFIXES_MAX: Final = 256
# Request headers that the router evaluates.
DEADLINE_HEADER: Final = b"turmericweir-deadline-ms"
IDEMPOTENCY_KEY_HEADER: Final = b"idempotency-key"
DEADLINE_MAX_MS: Final = 86_400_000
IDEMPOTENCY_KEY_MAX_CHARS: Final = 256
_BEARER: Final = b"bearer "
_SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
_WILDCARD: Final = "*"

HeadersByName = Mapping[bytes, bytes]


class ChatMessage(BaseModel):
    """One message of a prompt."""

    model_config = ConfigDict(extra="allow", frozen=True)

    role: str
    # Any: only the engine interprets parts that are not text.
    content: str | list[dict[str, Any]] | None = None


class ChatBody(BaseModel):
    """The body of a completion request; unknown fields are forwarded to engines."""

    model_config = ConfigDict(extra="allow", frozen=True, strict=True)

    model: str = Field(min_length=1)
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(default=None, gt=0)


@dataclass(frozen=True, slots=True)
class PromptSummary:
    """The prefix hashes of a prompt, and its word count, which approximates its token count."""

    prefixes: tuple[str, ...]
    word_count: int


def authenticate(config: Config, headers: HeadersByName) -> Customer:
    """Return the customer that the bearer token belongs to."""
    value = headers.get(b"authorization", b"")
    if value[: len(_BEARER)].lower() != _BEARER:
        raise RefusedError(Reason.UNAUTHORISED)
    digest = hashlib.sha256(value[len(_BEARER) :].strip()).hexdigest()
    customer = config.customers_by_token.get(digest)
    if customer is None:
        raise RefusedError(Reason.UNAUTHORISED)
    return customer


def build_completion_request(
    config: Config, customer: Customer, headers: HeadersByName, request_id: RequestId, body: bytes
) -> tuple[Request, bytes]:
    """Return the request for a completion and the body that is sent to engines."""
    value = _decode(body)
    chat = _validate(value)
    target = Target(chat.model)
    _find_service(config, target, ServiceKind.MODEL)
    service_class = _find_service_class(config, customer, target, None)
    # Engines always stream to the router, also where the caller wants a single JSON answer.
    engine_value = {**value, "stream": True}
    # Only the router sets `resume`; a caller could use it to continue another caller's answer.
    engine_value.pop("resume", None)
    engine_body = orjson.dumps(engine_value)
    prompt = _summarize_prompt(chat)
    request = _make_request(request_id, ServiceKind.MODEL, target, customer, service_class, headers)
    request.fingerprint = _fingerprint(target, engine_body)
    request.prefixes = prompt.prefixes
    request.shared_parts = hash_shared_parts(
        target, [f"{each.role}\0{_message_text(each)}" for each in chat.messages]
    )
    request.prompt_tokens = prompt.word_count
    request.max_tokens = chat.max_tokens
    request.streamed = chat.stream
    return request, engine_body


def _decode(body: bytes) -> dict[str, Any]:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise RefusedError(Reason.BAD_REQUEST, f"The body is not JSON: {exc}.") from None
    if not isinstance(value, dict):
        raise RefusedError(Reason.BAD_REQUEST, "The body is not a JSON object.")
    return value


def _validate(value: dict[str, Any]) -> ChatBody:
    try:
        return ChatBody.model_validate(value)
    except ValidationError as exc:
        error = exc.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in error["loc"])
        raise RefusedError(Reason.BAD_REQUEST, f"{field}: {error['msg']}.") from None


@dataclass(frozen=True, slots=True)
class ReceivedPlainCall:
    """A plain call as received from the caller."""

    service: str
    method: str
    # The decoded path after the service's name, which rules match.
    path: str
    # The same path with the query, still encoded, which the service receives.
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


def build_plain_request(
    config: Config, customer: Customer, request_id: RequestId, received: ReceivedPlainCall
) -> tuple[Request, PlainCall]:
    """Return the request for a plain call and the call that is sent to the service."""
    target = Target(received.service)
    service = _find_service(config, target, ServiceKind.PLAIN)
    rule = _find_rule(service, received.method, received.path)
    service_class = _find_service_class(
        config, customer, target, rule.service_class if rule else None
    )
    headers = dict(received.headers)
    request = _make_request(request_id, ServiceKind.PLAIN, target, customer, service_class, headers)
    request.repeatable = rule.repeatable if rule else received.method in _SAFE_METHODS
    request.idempotency_key = _parse_idempotency_key(headers)
    method = received.method.encode("ascii")
    request.fingerprint = _fingerprint(target, b" ".join((method, received.target, received.body)))
    call = PlainCall(method, received.target, forwarded_headers(received.headers), received.body)
    return request, call


def _find_service(config: Config, target: Target, kind: ServiceKind) -> Service:
    service = config.service_by_target.get(target)
    if service is None or service.kind is not kind:
        raise RefusedError(Reason.UNKNOWN_TARGET)
    return service


def _find_rule(service: Service, method: str, path: str) -> CallRule | None:
    for rule in service.rules:
        if rule.method in (_WILDCARD, method) and path.startswith(rule.path_prefix):
            return rule
    return None


def _find_service_class(
    config: Config, customer: Customer, target: Target, rule_class: str | None
) -> ServiceClass:
    name = rule_class or customer.classes.get(target) or customer.classes.get(_WILDCARD)
    service_class = config.classes.get(name) if name else None
    if service_class is None:
        raise RefusedError(Reason.UNKNOWN_CLASS)
    return service_class


def _make_request(
    request_id: RequestId,
    kind: ServiceKind,
    target: Target,
    customer: Customer,
    service_class: ServiceClass,
    headers: HeadersByName,
) -> Request:
    now = anyio.current_time()
    time_left_s = _parse_deadline_s(headers) or service_class.deadline_s
    return Request(
        request_id=request_id,
        kind=kind,
        target=target,
        customer=customer.name,
        team=customer.team,
        service_class=service_class,
        arrived_at=now,
        deadline=now + time_left_s,
    )


def _parse_deadline_s(headers: HeadersByName) -> float | None:
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return None
    deadline_ms = parse_count(value)
    if deadline_ms is None or not 0 < deadline_ms <= DEADLINE_MAX_MS:
        detail = f"Turmericweir-Deadline-Ms is not a number from 1 to {DEADLINE_MAX_MS}."
        raise RefusedError(Reason.BAD_REQUEST, detail)
    return deadline_ms / 1000.0


def _parse_idempotency_key(headers: HeadersByName) -> str | None:
    value = headers.get(IDEMPOTENCY_KEY_HEADER)
    if value is None:
        return None
    if not 0 < len(value) <= IDEMPOTENCY_KEY_MAX_CHARS or not value.isascii():
        detail = f"Idempotency-Key is not 1 to {IDEMPOTENCY_KEY_MAX_CHARS} ASCII characters long."
        raise RefusedError(Reason.BAD_REQUEST, detail)
    return value.decode("ascii")


def _fingerprint(target: str, body: bytes) -> str:
    hasher = xxhash.xxh3_128(target.encode())
    hasher.update(b"\0")
    hasher.update(body)
    return hasher.hexdigest()


def _summarize_prompt(chat: ChatBody) -> PromptSummary:
    hasher = xxhash.xxh3_64()
    prefixes: list[str] = []
    word_count = 0
    for message in chat.messages:
        text = _message_text(message)
        word_count += len(text.split())
        # The engine includes the role in the prompt.
        hasher.update(message.role.encode() + b"\0")
        for piece in _split_text(text):
            hasher.update(piece.encode(errors="surrogatepass"))
            if len(prefixes) < PREFIXES_MAX:
                prefixes.append(hasher.hexdigest())
    return PromptSummary(tuple(prefixes), word_count)


def _split_text(text: str) -> Iterator[str]:
    for start in range(0, max(1, len(text)), PREFIX_STEP_CHARS):
        yield text[start : start + PREFIX_STEP_CHARS]


def _message_text(message: ChatMessage) -> str:
    content = message.content
    if isinstance(content, str):
        return content
    parts = [part.get("text") for part in content or ()]
    return "".join(part for part in parts if isinstance(part, str))
