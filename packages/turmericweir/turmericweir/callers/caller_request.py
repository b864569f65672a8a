"""Validate what a caller sent and build the core's `Request` from it.

Whatever is wrong is found here, before anything is queued or sent: a malformed request costs its
caller a clear 4xx and nobody else anything.
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
from turmericweir.servers.backend_service import PlainCall, forwarded_headers
from turmericweir_core.base.config import CallRule, Config, Customer, Kind, Service, ServiceClass
from turmericweir_core.base.ids import RequestId, Target
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request

# Prompts are hashed up to each message's end and at each multiple of this within a message, so two
# that share a long beginning are seen to, also where they differ within one message.
PREFIX_STEP: Final = 512
# Longer prompts tell prefixes apart well enough by the first so many.
PREFIX_MAX: Final = 256
# Headers that only this router reads.
DEADLINE_HEADER: Final = b"turmericweir-deadline-ms"
KEY_HEADER: Final = b"idempotency-key"
DEADLINE_MAX_MS: Final = 86_400_000
KEY_MAX: Final = 256
_BEARER: Final = b"bearer "
_SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
_ANY: Final = "*"

Headers = Mapping[bytes, bytes]


class ChatMessage(BaseModel):
    """One message of a prompt."""

    model_config = ConfigDict(extra="allow", frozen=True)

    role: str
    # Any: parts of other kinds than text are the engine's affair.
    content: str | list[dict[str, Any]] | None = None


class ChatBody(BaseModel):
    """The body of a completion request; unknown fields go to the engine as they are."""

    model_config = ConfigDict(extra="allow", frozen=True, strict=True)

    model: str = Field(min_length=1)
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(default=None, gt=0)


@dataclass(frozen=True, slots=True)
class Prompt:
    """What the decisions need to know of a prompt."""

    prefixes: tuple[str, ...]
    words: int


def authenticate(config: Config, headers: Headers) -> Customer:
    """Find the customer by its bearer token."""
    value = headers.get(b"authorization", b"")
    if value[: len(_BEARER)].lower() != _BEARER:
        raise RefusedError(Reason.UNAUTHORISED)
    digest = hashlib.sha256(value[len(_BEARER) :].strip()).hexdigest()
    customer = config.customers_by_token.get(digest)
    if customer is None:
        raise RefusedError(Reason.UNAUTHORISED)
    return customer


def read_completion(
    config: Config, customer: Customer, headers: Headers, request_id: RequestId, body: bytes
) -> tuple[Request, bytes]:
    """Build the request of a completion and the body that engines get."""
    value = _decode(body)
    chat = _validate(value)
    target = Target(chat.model)
    _find_service(config, target, Kind.MODEL)
    service_class = _find_class(config, customer, target, None)
    # Engines always stream to the router; how the caller wants it is between it and the router.
    forwarded = {**value, "stream": True}
    # Resuming is the router's own word to the engine; a caller's would continue a foreign answer.
    forwarded.pop("resume", None)
    engine_body = orjson.dumps(forwarded)
    prompt = _read_prompt(chat)
    request = _make_request(request_id, Kind.MODEL, target, customer, service_class, headers)
    request.fingerprint = _fingerprint(target, engine_body)
    request.prefixes = prompt.prefixes
    request.prompt_tokens = prompt.words
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
class PlainInquiry:
    """A plain call as the caller sent it."""

    service: str
    method: str
    # The path behind the service's name, decoded: rules match on it.
    path: str
    # The same with the query, as the caller encoded it: the service gets it.
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


def read_plain(
    config: Config, customer: Customer, request_id: RequestId, inquiry: PlainInquiry
) -> tuple[Request, PlainCall]:
    """Build the request of a plain call and the call that the service gets."""
    target = Target(inquiry.service)
    service = _find_service(config, target, Kind.PLAIN)
    rule = _find_rule(service, inquiry.method, inquiry.path)
    service_class = _find_class(config, customer, target, rule.service_class if rule else None)
    headers = dict(inquiry.headers)
    request = _make_request(request_id, Kind.PLAIN, target, customer, service_class, headers)
    request.repeatable = rule.repeatable if rule else inquiry.method in _SAFE_METHODS
    request.idempotency_key = _read_key(headers)
    method = inquiry.method.encode("ascii")
    request.fingerprint = _fingerprint(target, b" ".join((method, inquiry.target, inquiry.body)))
    call = PlainCall(method, inquiry.target, forwarded_headers(inquiry.headers), inquiry.body)
    return request, call


def _find_service(config: Config, target: Target, kind: Kind) -> Service:
    service = config.service_by_target.get(target)
    if service is None or service.kind is not kind:
        raise RefusedError(Reason.UNKNOWN_TARGET)
    return service


def _find_rule(service: Service, method: str, path: str) -> CallRule | None:
    for rule in service.rules:
        if rule.method in (_ANY, method) and path.startswith(rule.path_prefix):
            return rule
    return None


def _find_class(
    config: Config, customer: Customer, target: Target, named: str | None
) -> ServiceClass:
    name = named or customer.classes.get(target) or customer.classes.get(_ANY)
    service_class = config.classes.get(name) if name else None
    if service_class is None:
        raise RefusedError(Reason.UNKNOWN_CLASS)
    return service_class


def _make_request(
    request_id: RequestId,
    kind: Kind,
    target: Target,
    customer: Customer,
    service_class: ServiceClass,
    headers: Headers,
) -> Request:
    now = anyio.current_time()
    wait_s = _read_deadline(headers) or service_class.deadline_s
    return Request(
        request_id=request_id,
        kind=kind,
        target=target,
        customer=customer.name,
        team=customer.team,
        service_class=service_class,
        arrived=now,
        deadline=now + wait_s,
    )


def _read_deadline(headers: Headers) -> float | None:
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return None
    if not value.isdigit() or not 0 < int(value) <= DEADLINE_MAX_MS:
        detail = f"Turmericweir-Deadline-Ms is not a number from 1 to {DEADLINE_MAX_MS}."
        raise RefusedError(Reason.BAD_REQUEST, detail)
    return int(value) / 1000.0


def _read_key(headers: Headers) -> str | None:
    value = headers.get(KEY_HEADER)
    if value is None:
        return None
    if not 0 < len(value) <= KEY_MAX or not value.isascii():
        detail = f"Idempotency-Key is not 1 to {KEY_MAX} ASCII characters long."
        raise RefusedError(Reason.BAD_REQUEST, detail)
    return value.decode("ascii")


def _fingerprint(target: str, body: bytes) -> str:
    hasher = xxhash.xxh3_128(target.encode())
    hasher.update(b"\0")
    hasher.update(body)
    return hasher.hexdigest()


def _read_prompt(chat: ChatBody) -> Prompt:
    hasher = xxhash.xxh3_64()
    prefixes: list[str] = []
    words = 0
    for message in chat.messages:
        text = _text_of(message)
        words += len(text.split())
        # The role is a part of the prompt that the engine makes of it.
        hasher.update(message.role.encode() + b"\0")
        for piece in _pieces(text):
            hasher.update(piece.encode(errors="surrogatepass"))
            if len(prefixes) < PREFIX_MAX:
                prefixes.append(hasher.hexdigest())
    return Prompt(tuple(prefixes), words)


def _pieces(text: str) -> Iterator[str]:
    for start in range(0, max(1, len(text)), PREFIX_STEP):
        yield text[start : start + PREFIX_STEP]


def _text_of(message: ChatMessage) -> str:
    content = message.content
    if isinstance(content, str):
        return content
    parts = [part.get("text") for part in content or ()]
    return "".join(part for part in parts if isinstance(part, str))
