"""A stand-in for a model engine: `python -m turmericweir_standins.engine --help`.

It implements continuous batching, priorities, prefix caching, resumes, cancellation and transfer of
KV cache, but computes nothing: its answers are a function of the model and the prompt. It uses the
engine protocol of `docs/protocols.md` and fails on request.

The modules: `engine_answer` (generated answers), `engine_kv` and `engine_batch` (the batch, as a
pure model), `engine_models` (orders), `engine_lag` (delayed reports and events), `engine_loop`
(real time), `engine_wire` and `engine_app` (HTTP), `engine_record` (the record for tests).
"""

from __future__ import annotations

import anyio
import click

from turmericweir_standins.behaviour import Controls
from turmericweir_standins.engine_app import EngineApp
from turmericweir_standins.engine_batch import BatchConfig
from turmericweir_standins.engine_loop import Engine
from turmericweir_standins.engine_options import CrashMode, EngineBehaviour, EngineOptions
from turmericweir_standins.engine_record import EngineRecord
from turmericweir_standins.listener import Listener
from turmericweir_standins.record import Recorder


async def serve(options: EngineOptions, address: str, record_path: str | None) -> None:
    """Run an engine until SIGTERM."""
    with Recorder(record_path) as recorder:
        record = EngineRecord(options.name, recorder)
        controls = Controls(
            EngineBehaviour(), on_change=lambda table: record.behaviour(table.model_dump())
        )
        listener = Listener(options.name, address)
        engine = Engine(options, controls, record, listener)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            await listener.run(EngineApp(engine, listener))
            tasks.cancel_scope.cancel()


@click.command()
@click.option("--name", default="engine", show_default=True, help="Name in reports and records.")
@click.option(
    "--address", default="127.0.0.1:0", show_default=True, help="ip:port; port 0 takes a free one."
)
@click.option("--models", default="model", show_default=True, help="Loaded models, by commas.")
@click.option("--slots", default=16, show_default=True, help="Sequences in a batch.")
@click.option("--step-ms", default=6.0, show_default=True, help="Step time for one sequence.")
@click.option(
    "--slope", default=0.02, show_default=True, help="Part of a step added by each more sequence."
)
@click.option("--kv-tokens", default=65536, show_default=True, help="Size of the KV memory.")
@click.option(
    "--check-fence/--ignore-fence",
    default=True,
    show_default=True,
    help="Whether orders with an old fencing number are refused.",
)
@click.option("--load-s", default=1.0, show_default=True, help="Time to load a model.")
@click.option("--report-lag-ms", default=0.0, show_default=True, help="Age of load reports.")
@click.option("--cache-lag-ms", default=0.0, show_default=True, help="Age of cache events.")
@click.option(
    "--cache-gap-every", default=0, show_default=True, help="Lose every n-th cache event; 0: none."
)
@click.option(
    "--crash-mode",
    type=click.Choice([mode.value for mode in CrashMode]),
    default=CrashMode.RESTART.value,
    show_default=True,
    help="What a prompt that holds [crash] does.",
)
@click.option("--down-s", default=1.0, show_default=True, help="Time away after such a crash.")
@click.option("--record", type=click.Path(dir_okay=False), help="File for the JSON-lines record.")
@click.option("--seed", default=0, show_default=True, help="Seed of injected errors.")
def main(
    name: str,
    address: str,
    models: str,
    slots: int,
    step_ms: float,
    slope: float,
    kv_tokens: int,
    check_fence: bool,
    load_s: float,
    report_lag_ms: float,
    cache_lag_ms: float,
    cache_gap_every: int,
    crash_mode: str,
    down_s: float,
    record: str | None,
    seed: int,
) -> None:
    """Run a stand-in for a model engine until SIGTERM."""
    options = EngineOptions(
        name=name,
        models=tuple(model for model in models.split(",") if model),
        batch=BatchConfig(slots, kv_tokens, step_ms / 1000, slope),
        check_fence=check_fence,
        load_s=load_s,
        report_lag_s=report_lag_ms / 1000,
        cache_lag_s=cache_lag_ms / 1000,
        cache_gap_every=cache_gap_every,
        crash_mode=CrashMode(crash_mode),
        down_s=down_s,
        seed=seed,
    )
    anyio.run(serve, options, address, record)


if __name__ == "__main__":
    main()
