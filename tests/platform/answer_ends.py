"""Requests whose answers a server completes or breaks off, and what callers may make of the end."""

from __future__ import annotations

from tests.platform.platform_world import Answer, PlatformWorld
from tests.platform.standin_answers import AnswerForm

STREAMS = ("/lm/doc/", "/lm/chat/")
PLAIN = ("/shop/buy/", "/shop/look/")
_EVENTS = [f"piece {number}" for number in range(6)]


def send_in_form(world: PlatformWorld, path: str, instance: str, form: AnswerForm) -> Answer:
    """Send a request whose first run gets an answer of this form."""
    forms = [form]
    for server in world.servers.values():
        server.forms = forms
    request_id = world.new_id()
    answer = world.send(path, instance=instance, request_id=request_id, body=request_id.encode())
    assert not forms
    return answer


def is_whole(path: str, answer: Answer) -> bool:
    """Return whether an answer holds all that its server has to say."""
    if path in STREAMS:
        return answer.event_data == _EVENTS
    return answer.body.startswith(b"by shop-")


def assert_true_end(path: str, answer: Answer) -> None:
    """Assert that an answer is whole or does not look whole."""
    if answer.status == 200 and not answer.is_cut:
        assert is_whole(path, answer)
    else:
        assert answer.is_cut or "x-server-signature" not in answer.headers
