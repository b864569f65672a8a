"""Streams that nobody knows are taken up at instances whose lists of servers are old."""

from __future__ import annotations

from random import Random

import pytest

from tests.core.stream_network import StreamNetwork
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.stream_messages import StreamUnknown
from turmericweir_core.streams import stream_bindings, stream_lookup
from turmericweir_core.streams.stream_lookup import Pending


def network_of(instances: int, centres: int = 1) -> StreamNetwork:
    """Return a network in which one release serves, and the store holds that."""
    network = StreamNetwork(instances, centres, versions=1)
    network.run_records()
    return network


def test_list_that_was_read_before_the_request_shows_nothing() -> None:
    """Guards against a conclusion from not having heard of another version."""
    network = network_of(1)
    network.without_list.update(network.names)
    assert network.take_up(network.names[0], "nobody's") is None


def test_stream_goes_on_by_a_list_that_was_read_after_the_request() -> None:
    """Guards against refusals where a new list shows that there was one version only."""
    network = network_of(1)
    assert network.take_up(network.names[0], "nobody's") is not None


@pytest.mark.parametrize("centres", [1, 3])
def test_instances_that_are_cut_off_together_do_not_vouch_for_each_other(centres: int) -> None:
    """Guards against two lists that are equally old."""
    network = network_of(6, centres)
    network.without_list.update(network.names)
    assert all(network.take_up(name, "nobody's") is None for name in network.names)


def test_peer_that_reads_the_list_vouches_for_one_that_cannot() -> None:
    """Guards against refusals by an instance that has lost the store alone."""
    network = network_of(3)
    network.without_list.add(network.names[0])
    network.without_records.add(network.names[0])
    assert network.take_up(network.names[0], "nobody's") is not None


def test_peer_that_does_not_know_the_history_vouches_for_nothing() -> None:
    """Guards against the word of an instance that has just started."""
    network = network_of(2)
    first, second = network.names
    network.without_list.add(first)
    network.states[second].streams.history_from = network.now
    network.without_records.update(network.names)
    assert network.take_up(first, "nobody's") is None


def test_peer_that_has_seen_another_version_only_is_believed() -> None:
    """Guards against comparing numbers of versions rather than versions."""
    network = StreamNetwork(2, 1, versions=2)
    first, second = network.names
    for name, server in zip(network.names, network.servers, strict=True):
        network.states[name] = network._new_state(name, [server])
    network.update_members()
    network.without_list.add(first)
    network.without_records.update(network.names)
    assert network.take_up(first, "nobody's") is None
    assert stream_bindings.sole_release(network.states[first], network.now, "lm")
    assert stream_bindings.sole_release(network.states[second], network.now, "lm")


@pytest.mark.parametrize("number", [0, 77])
def test_answer_to_an_earlier_question_does_not_vouch(number: int) -> None:
    """Guards against a delayed or repeated answer that is taken for a new one."""
    network = network_of(2)
    state = network.states[network.names[0]]
    req = network._request("r", "nobody's")
    state.requests[req.request_id] = req
    assert isinstance(stream_lookup.look_up(state, network.now, req), Pending)
    ((key, lookup),) = state.streams.lookups.items()
    answer = StreamUnknown(key, [], has_history=True, number=number, list_age_s=0.0)
    stream_lookup.on_unknown(state, InstanceName(network.names[1]), answer)
    assert lookup.vouched_at < req.arrived_at


@pytest.mark.parametrize("age_s", [float("nan"), float("inf"), -1.0, 0.5])
def test_age_that_a_peer_states_counts_from_the_question(age_s: float) -> None:
    """Guards against a list that seems newer because its message was delayed, or is malformed."""
    network = network_of(2)
    state = network.states[network.names[0]]
    req = network._request("r", "nobody's")
    state.requests[req.request_id] = req
    stream_lookup.look_up(state, network.now, req)
    ((key, lookup),) = state.streams.lookups.items()
    (number,) = lookup.questions
    answer = StreamUnknown(key, [], has_history=True, number=number, list_age_s=age_s)
    stream_lookup.on_unknown(state, InstanceName(network.names[1]), answer)
    assert lookup.vouched_at < req.arrived_at


def test_answer_to_an_earlier_process_does_not_vouch() -> None:
    """Guards against numbers that start anew with each process, so that a late answer fits."""
    numbers: list[set[int]] = []
    for _ in range(2):
        network = network_of(2)
        state = network.states[network.names[0]]
        state.rng = Random()
        req = network._request("r", "nobody's")
        state.requests[req.request_id] = req
        stream_lookup.look_up(state, network.now, req)
        (lookup,) = state.streams.lookups.values()
        numbers.append(set(lookup.questions))
    assert not numbers[0] & numbers[1]
